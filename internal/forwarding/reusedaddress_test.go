package forwarding

import (
	"net/http"
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/workers"
)

// TestRefusalAtAReusedAddressIsNoContact guards against nodes that have ended but count as reached,
// since another node refuses the calls for them at their address.
func TestRefusalAtAReusedAddressIsNoContact(t *testing.T) {
	caller := startNode(t, "a", "intake", nil)
	other := startNode(t, "b", "intake", startWorker(t))
	configure(t, ledgerRoutes, caller, other)
	ended := fleet.Node{
		ID: "ended", Incarnation: 1, Zone: "z", CallAddress: other.table.View().Self().CallAddress, State: fleet.StateLive,
		Workers: []workers.Worker{{Instance: "w-ended", Service: "ledger", Slots: 4, State: workers.StateReady}},
	}
	caller.table.Merge([]fleet.Node{ended})
	contacts := caller.plane.config.Contacts
	contacts.Failed(ended.ID, time.Now(), 0)
	if status, _, _ := get(t, caller, "/short/x"); status != http.StatusServiceUnavailable {
		t.Fatalf("status %d", status)
	}
	if other.refusedHops.Load() == 0 {
		t.Fatal("nothing was asked at the address")
	}
	if contacts.Reachable(ended.ID) {
		t.Error("the node that has ended counts as reached")
	}
}

// TestAnswerOfTheWorkersNodeIsContact expects that a lost node is found by the calls that its worker
// answers.
func TestAnswerOfTheWorkersNodeIsContact(t *testing.T) {
	caller, beside := startNode(t, "a", "intake", nil), startNode(t, "b", "ledger", startWorker(t))
	configure(t, ledgerRoutes, caller, beside)
	exchangeRecords(caller, beside)
	contacts := caller.plane.config.Contacts
	contacts.Failed("b", time.Now(), 0)
	if status, _, _ := get(t, caller, "/read/x"); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	if !contacts.Reachable("b") {
		t.Error("the node is still lost")
	}
}
