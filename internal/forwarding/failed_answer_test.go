package forwarding

import (
	"net/http"
	"testing"
	"time"
)

// failing makes a worker answer with a server error.
func failing(worker *testWorker, stamp string) {
	worker.answer(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Stamp", stamp)
		http.Error(w, "failed at "+stamp, http.StatusInternalServerError)
	})
}

// frontOfTwo starts a node without a worker and two nodes with one each.
func frontOfTwo(t *testing.T, routes []routeSpec) (front *testNode, first, second *testWorker) {
	t.Helper()
	first, second = startWorker(t), startWorker(t)
	front = startNode(t, "front", "other", nil)
	one, two := startNode(t, "one", "ledger", first), startNode(t, "two", "ledger", second)
	configure(t, routes, front, one, two)
	exchangeRecords(front, one, two)
	return front, first, second
}

func TestRepeatableCallIsAskedOfAnotherWorkerAfterAFailure(t *testing.T) {
	front, first, second := frontOfTwo(t, ledgerRoutes)
	failing(first, "first")
	// The other worker is the last resort, so that each call begins at the one that fails.
	other := front.plane.destination("ledger").endpoints["two"]
	other.pausedUntil = time.Now().Add(time.Hour)
	for call := range 20 {
		if status, _, body := get(t, front, "/read/1"); status != http.StatusOK {
			t.Fatalf("call %d: %d %q", call, status, body)
		}
	}
	if first.calls.Load() != 20 || second.calls.Load() != 20 {
		t.Errorf("%d and %d calls arrived", first.calls.Load(), second.calls.Load())
	}
}

func TestFailureOfAWorkerStandsWhenAllFail(t *testing.T) {
	front, first, second := frontOfTwo(t, ledgerRoutes)
	failing(first, "first")
	failing(second, "second")
	status, header, body := get(t, front, "/read/1")
	if stamp := header.Get("X-Stamp"); status != http.StatusInternalServerError || body != "failed at "+stamp+"\n" {
		t.Errorf("%d %v %q", status, header, body)
	}
	if arrivals := first.calls.Load() + second.calls.Load(); arrivals != 2 {
		t.Errorf("%d workers had the call", arrivals)
	}
}

func TestFailureIsPassedOnWhereNothingMayBeRepeated(t *testing.T) {
	routes := []routeSpec{
		{prefix: "/file/", service: "ledger", timeout: 5 * time.Second, attempts: 3},
		{prefix: "/once/", service: "ledger", safe: true, timeout: 5 * time.Second, attempts: 1},
	}
	front, first, second := frontOfTwo(t, routes)
	failing(first, "first")
	failing(second, "second")
	if status, _, _ := post(t, front, "/file/1", "vat"); status != http.StatusInternalServerError {
		t.Errorf("unrepeatable: %d", status)
	}
	if status, _, _ := get(t, front, "/once/1"); status != http.StatusInternalServerError {
		t.Errorf("one attempt: %d", status)
	}
	if arrivals := first.calls.Load() + second.calls.Load(); arrivals != 2 {
		t.Errorf("%d arrivals of two calls", arrivals)
	}
}
