package forwarding

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/levertide/levertide/internal/testwait"
	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/slotqueue"
	"github.com/levertide/levertide/pkg/workers"
)

// TestCallThatItsZoneRefusesIsTakenElsewhere fills the workers of the caller's zone.
func TestCallThatItsZoneRefusesIsTakenElsewhere(t *testing.T) {
	const waiters = 6
	near, far := startWorker(t), startWorker(t)
	front := startNode(t, "front", "desk", nil)
	nodes := []*testNode{front}
	for n := range maximumRefusals {
		nodes = append(nodes, startNode(t, fmt.Sprint("near-", n), "ledger", near))
	}
	other := startNode(t, "far", "ledger", far)
	other.table.Update(func(own *fleet.Node) { own.Zone = "elsewhere" })
	nodes = append(nodes, other)
	exchangeRecords(nodes...)
	configure(t, ledgerRoutes, nodes...)
	for _, node := range nodes[1 : 1+maximumRefusals] {
		w, err := node.plane.local.find("ledger", workers.Incarnation{})
		if err != nil {
			t.Fatal(err)
		}
		fill(t, node)
		// So many wait that a call is refused at once.
		for range waiters {
			go func() { _, _ = w.queue.Admit(t.Context(), slotqueue.Request{LatestStart: time.Now().Add(testTimeout)}) }()
		}
		testwait.Eventually(t, "others wait", func() bool { return w.load().Waiting == waiters })
	}
	short := callerRequest(t, front, http.MethodGet, "/short/1", nil)
	if status, _, _ := ask(t, short); status != http.StatusOK || far.calls.Load() != 1 {
		t.Errorf("a short call: status %d, %d calls in the other zone", status, far.calls.Load())
	}
	long := callerRequest(t, front, http.MethodPost, "/short/1", bytes.NewReader(make([]byte, 2*expectContinueBody)))
	if status, _, _ := ask(t, long); status != http.StatusOK || far.calls.Load() != 2 {
		t.Errorf("a long one: status %d, %d calls in the other zone", status, far.calls.Load())
	}
}

// TestLongBodiesStayWhereLinksAreFree checks that a long body prefers its own zone as much as its
// bytes cost, unless bodies wait for the links of that zone.
func TestLongBodiesStayWhereLinksAreFree(t *testing.T) {
	w := criteria{long: true, bytes: 60 << 10, target: time.Second, waitLimit: 200 * time.Millisecond}
	if price := otherZonePrice(w); price != float64(w.target) {
		t.Errorf("free links: a price of %v", time.Duration(price))
	}
	w.linksFull = true
	if price := otherZonePrice(w); price > float64(w.waitLimit) {
		t.Errorf("full links: a price of %v, with a wait limit of %v", time.Duration(price), w.waitLimit)
	}
}
