package forwarding

import (
	"net/http"
	"testing"

	"github.com/levertide/levertide/internal/testdial"
	"github.com/levertide/levertide/internal/testwait"
	"github.com/levertide/levertide/pkg/workers"
)

// TestWorkerIsGivenFewConnections guards against calls that are lost because the worker resets
// connections beyond those that it accepts: two requests are in flight at a time, and while a
// connection is being opened for each, an older one serves it first.
func TestWorkerIsGivenFewConnections(t *testing.T) {
	const calls = 60
	running, release := make(chan struct{}), make(chan struct{})
	worker := startWorker(t)
	worker.answer(func(http.ResponseWriter, *http.Request) {
		running <- struct{}{}
		<-release
	})
	slow := testdial.NewSlow()
	node := startNode(t, "beside", "ledger", nil)
	node.plane.config.Dial = slow.Dial
	node.heartbeat(t, "w-beside", "ledger", worker, 1, false)
	configure(t, ledgerRoutes, node)
	client, err := node.plane.local.find("ledger", workers.Incarnation{})
	if err != nil {
		t.Fatal(err)
	}

	statuses := make(chan int, calls)
	begin := func() {
		request := callerRequest(t, node, http.MethodPost, "/file/1", nil)
		go func() {
			status, _, _ := ask(t, request)
			statuses <- status
		}()
	}
	answered := func() {
		t.Helper()
		if status := <-statuses; status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
	}
	begin()
	<-running
	for range calls - 1 {
		begin()
		testwait.Eventually(t, "the next request is admitted", func() bool { return client.load().Running == 2 })
		release <- struct{}{}
		<-running
		answered()
	}
	slow.Finish()
	release <- struct{}{}
	answered()
	if most, peak := connectionsPerSlot*client.load().Slots, slow.Highest(); peak > most {
		t.Errorf("%d connections were open, want %d at most", peak, most)
	}
}
