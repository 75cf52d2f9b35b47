package forwarding

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/slotqueue"
	"github.com/levertide/levertide/pkg/workers"
)

// TestInheritedRequestsKeepTheirSlots restarts a node beside a worker of four slots that still
// runs three requests of the node's previous incarnation, and two of these a while later.
func TestInheritedRequestsKeepTheirSlots(t *testing.T) {
	worker := startWorker(t)
	node := startNode(t, "a", "ledger", nil)
	configure(t, ledgerRoutes, node)
	held := 3
	node.plane.config.Dialect.WorkerLoad = func(http.Header) (slotqueue.Load, bool) {
		return slotqueue.Load{Running: held + 1, Slots: 4}, true
	}
	heartbeat := workers.Heartbeat{Instance: "w", Service: "ledger", Address: netip.MustParseAddrPort(worker.address()), Slots: 4, Busy: held}
	if _, err := node.registry.RegisterProbed(heartbeat, time.Now()); err != nil {
		t.Fatal(err)
	}
	update := func() {
		node.plane.Update(node.registry.Workers())
		node.table.Update(func(own *fleet.Node) { own.Workers = node.registry.Workers() })
	}
	update()
	slots := func() int {
		load, _ := node.plane.localLoad("ledger")
		return load.Slots
	}
	if got := slots(); got != 1 {
		t.Errorf("%d slots at the start", got)
	}
	heartbeat.Sequence = 1
	if _, err := node.registry.Heartbeat(heartbeat, time.Now()); err != nil {
		t.Fatal(err)
	}
	update()
	if got := slots(); got != 1 {
		t.Errorf("%d slots after a heartbeat", got)
	}
	for _, c := range []struct{ held, want int }{{2, 2}, {2, 2}, {0, 4}, {3, 4}} {
		held = c.held
		if status, _, _ := get(t, node, "/read/1"); status != http.StatusOK {
			t.Errorf("status %d", status)
		}
		if got := slots(); got != c.want {
			t.Errorf("%d slots when the worker reports %d more requests, want %d", got, held, c.want)
		}
	}
}
