package forwarding

import (
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/levertide/levertide/internal/testwait"
	"github.com/levertide/levertide/pkg/workers"
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

// confirmed reports whether a node takes the worker beside it for the one that runs.
func (n *testNode) confirmed(worker *rawWorker) bool {
	other := workers.Heartbeat{Instance: "other", Service: "ledger", Address: netip.MustParseAddrPort(worker.listener.Addr().String()), Slots: 4}
	rival, _ := n.registry.Rival(other, time.Now())
	return rival.Confirmed
}

// TestMisdirectedAnswersAndServedOnesDecideWhoRuns guards against a worker that loses its place though it serves, or
// keeps it though another one answers at its address.
func TestMisdirectedAnswersAndServedOnesDecideWhoRuns(t *testing.T) {
	var denies, refuses atomic.Bool
	refuses.Store(true)
	worker := startRawWorker(t, func(r rawRequest) {
		switch {
		case denies.Load():
			r.respond(http.StatusMisdirectedRequest, "", "")
		case refuses.Load():
			r.respond(http.StatusTooManyRequests, "X-Not-Run: 1\r\n", "")
		default:
			r.respond(http.StatusOK, "", "whole")
		}
	})
	_, back := nodesBesideRawWorker(t, worker)
	worker.untilArrived(t, func() { get(t, back, "/read/1") })
	if back.confirmed(worker) {
		t.Error("an answer that refuses a call has confirmed the worker")
	}
	refuses.Store(false)
	for range 2 {
		denies.Store(false)
		testwait.Eventually(t, "a served call confirms the worker", func() bool {
			get(t, back, "/read/1")
			return back.confirmed(worker)
		})
		denies.Store(true)
		worker.untilArrived(t, func() { get(t, back, "/read/1") })
		if back.confirmed(worker) {
			t.Error("the worker is confirmed, though another one answers at its address")
		}
	}
}
