package forwarding

import (
	"net/http"
	"testing"

	"github.com/levertide/levertide/pkg/workers"
)

// TestRefusalKeepsTheConnection makes a node refuse calls one after the other, which must all
// arrive over the same connection.
func TestRefusalKeepsTheConnection(t *testing.T) {
	front := startNode(t, "front", "desk", nil)
	refusing := startNode(t, "refusing", "ledger", startWorker(t))
	exchangeRecords(front, refusing)
	configure(t, ledgerRoutes, front, refusing)
	client, err := refusing.plane.local.find("ledger", workers.Incarnation{})
	if err != nil {
		t.Fatal(err)
	}
	client.pause(testTimeout)
	const calls = 20
	for range calls {
		if status, _, _ := ask(t, callerRequest(t, front, http.MethodGet, "/short/1", nil)); status != http.StatusServiceUnavailable {
			t.Fatalf("status %d", status)
		}
	}
	if refused := refusing.refusedHops.Load(); refused < calls {
		t.Fatalf("%d calls were refused, want %d at least", refused, calls)
	}
	if dials := front.dials.Load(); dials != 1 {
		t.Errorf("%d connections were opened, want 1", dials)
	}
}
