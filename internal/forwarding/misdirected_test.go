package forwarding

import (
	"net/http"
	"testing"

	"github.com/levertide/levertide/internal/testwait"
)

// TestWorkerThatOnceAnsweredAsAnotherIsAskedAgain guards against a worker that gets nothing for as long as
// it lives after one answer 421.
func TestWorkerThatOnceAnsweredAsAnotherIsAskedAgain(t *testing.T) {
	worker := startRawWorker(t, func(r rawRequest) {
		if r.number == 1 {
			r.respond(http.StatusMisdirectedRequest, "", "")
			return
		}
		r.respond(http.StatusOK, "", "whole")
	})
	front, back := nodesBesideRawWorker(t, worker)
	worker.untilArrived(t, func() { get(t, back, "/file/1") })
	for place, node := range map[string]*testNode{"two nodes": front, "own worker": back} {
		testwait.Eventually(t, "the worker is asked again: "+place, func() bool {
			status, _, _ := get(t, node, "/read/1")
			return status == http.StatusOK
		})
	}
}

// TestAnotherWorkerAtTheAddressIsNotAskedForEachCall guards against calls that all go to a worker that
// answers as another one.
func TestAnotherWorkerAtTheAddressIsNotAskedForEachCall(t *testing.T) {
	worker := startRawWorker(t, func(r rawRequest) { r.respond(http.StatusMisdirectedRequest, "", "") })
	_, back := nodesBesideRawWorker(t, worker)
	worker.untilArrived(t, func() { get(t, back, "/file/1") })
	const calls = 20
	for range calls {
		if status, _, _ := get(t, back, "/read/1"); status != http.StatusServiceUnavailable {
			t.Errorf("status %d", status)
		}
	}
	if arrived := worker.arrivals.Load(); arrived > calls/4 {
		t.Errorf("%d of %d calls have arrived", arrived, calls)
	}
}
