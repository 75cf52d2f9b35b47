package forwarding

import (
	"net/http"
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/slotqueue"
)

func TestFailureShareRisesFallsAndDecays(t *testing.T) {
	var f failureShare
	at := time.Now()
	for range 50 {
		f.observe(true, at)
	}
	if share := f.now(at); share < 0.9 {
		t.Fatalf("all fail: %.2f", share)
	}
	if share := f.now(at.Add(5 * failureMemory)); share > 0.01 {
		t.Errorf("without calls for long: %.2f", share)
	}
	for range 50 {
		f.observe(false, at)
	}
	if share := f.now(at); share > 0.1 {
		t.Errorf("none fails any more: %.2f", share)
	}
}

// TestWorkerThatFailsFastIsNotTakenForAFastOne makes one of two workers answer with server errors
// at once while the other takes its time: most calls go to the other.
func TestWorkerThatFailsFastIsNotTakenForAFastOne(t *testing.T) {
	good, grey := startWorker(t), startWorker(t)
	good.answer(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(5 * time.Millisecond)
		_, _ = w.Write([]byte("whole"))
	})
	grey.answer(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	front, a, b := startNode(t, "front", "desk", nil), startNode(t, "a", "ledger", good), startNode(t, "b", "ledger", grey)
	exchangeRecords(front, a, b)
	configure(t, ledgerRoutes, front, a, b)
	const calls = 300
	for range calls {
		ask(t, callerRequest(t, front, http.MethodGet, "/read/1", nil))
	}
	failed := grey.calls.Load() // another worker may have answered its callers
	if failed > calls/4 {
		t.Errorf("%d of %d calls went to the worker that fails", failed, calls)
	}
	if failed == 0 {
		t.Error("the worker that fails was never tried")
	}
}

func TestFailureShareIsReported(t *testing.T) {
	load, _, ok := parseLoad(formatLoad(slotqueue.Load{Slots: 4, Failing: 0.25}, 0))
	if !ok || load.Failing != 0.25 {
		t.Fatalf("%+v, %v", load, ok)
	}
}
