package forwarding

import (
	"net/http"
	"strings"
	"testing"

	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/workers"
)

// mustExplain has a call refused for want of a worker, and checks what its report says of the cause.
func mustExplain(t *testing.T, node *testNode, wanted ...string) {
	t.Helper()
	status, _, _ := get(t, node, "/read/1")
	report := <-node.reports
	if status != http.StatusServiceUnavailable || report.Reason != outcome.NoWorker {
		t.Fatalf("status %d, %+v", status, report)
	}
	const longest = 1 << 10
	cause := report.Cause.Error()
	for _, text := range wanted {
		if !strings.Contains(cause, text) {
			t.Errorf("the cause lacks %q: %s", text, cause)
		}
	}
	if len(cause) > longest {
		t.Errorf("a cause of %d bytes", len(cause))
	}
}

// TestRefusalForWantOfAWorkerSaysWhy guards against a 503 no-worker whose log line names no cause.
func TestRefusalForWantOfAWorkerSaysWhy(t *testing.T) {
	front, nodes, _ := meshOf(t, 1)
	configure(t, ledgerRoutes, front)
	for state, text := range map[workers.State]string{
		workers.StateUnresponsive: "1 nodes name a worker of the service (ready 0, silent 1, draining 0, gone 0; nodes that leave or have left 0, without a usable address 0), 0 may be chosen",
		workers.StateDraining:     "ready 0, silent 0, draining 1, gone 0",
		workers.StateGone:         "ready 0, silent 0, draining 0, gone 1",
	} {
		nodes[0].table.Update(func(own *fleet.Node) {
			own.Workers = []workers.Worker{{Instance: "w-a", Service: "ledger", Slots: 4, State: state}}
		})
		exchangeRecords(front, nodes[0])
		mustExplain(t, front, text, "beside this node: ready 0, silent 0, draining 0, gone 0, of other services 0")
	}
	nodes[0].table.Update(func(own *fleet.Node) { own.Workers[0].State, own.State = workers.StateReady, fleet.StateLeaving })
	exchangeRecords(front, nodes[0])
	mustExplain(t, front, "ready 1, silent 0", "nodes that leave or have left 1")
}

// TestRefusalOfAnotherInstanceSaysWhich guards against a node that refuses a call for an instance and does
// not say which one it has.
func TestRefusalOfAnotherInstanceSaysWhich(t *testing.T) {
	front, nodes, _ := meshOf(t, 1)
	nodes[0].table.Update(func(own *fleet.Node) {
		own.Workers = []workers.Worker{{Instance: "odd", StartedAt: 5, Service: "ledger", Slots: 4, State: workers.StateReady}}
	})
	exchangeRecords(front, nodes[0])
	mustExplain(t, front, "ready 1, silent 0", "1 may be chosen (unreachable 0, paused 1, overdue 0, leaving by their answers 0)")
	c := hopCall{plane: nodes[0].plane, hop: hop{service: "ledger", incarnation: workers.Incarnation{Instance: "odd", StartedAt: 5}}}
	said := c.explained(outcome.New(outcome.NoWorker)).Error()
	if !strings.Contains(said, `ready 1, silent 0, draining 0, gone 0, of other services 0, asked for "odd@5", takes calls "w-a" at `) {
		t.Error(said)
	}
}

// TestRefusalByAPausedWorkerSaysSo guards against a worker that gets nothing although it is ready, for no
// cause that the log names.
func TestRefusalByAPausedWorkerSaysSo(t *testing.T) {
	front, nodes, _ := meshOf(t, 1)
	client, err := nodes[0].plane.local.find("ledger", workers.Incarnation{})
	if err != nil {
		t.Fatal(err)
	}
	client.pause(testTimeout)
	mustExplain(t, front, "ready 1, silent 0", "paused 1")
	mustExplain(t, nodes[0], `takes calls "w-a" at `, "(paused)")
}
