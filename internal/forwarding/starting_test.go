package forwarding

import (
	"net/http"
	"testing"
	"time"

	"github.com/levertide/levertide/internal/testwait"
	"github.com/levertide/levertide/pkg/outcome"
)

// TestCallsThatComeWhileTheNodeStartsAreAnswered replays a power failure of all machines: callers
// connect as soon as their node listens, before it knows a configuration or a worker.
func TestCallsThatComeWhileTheNodeStartsAreAnswered(t *testing.T) {
	const calls = 20
	worker := startWorker(t)
	front, back := startNode(t, "front", "other", nil), startNode(t, "back", "ledger", worker)
	front.plane.started = time.Now()
	configure(t, ledgerRoutes, back)
	statuses := make(chan int, calls)
	for range calls {
		request := callerRequest(t, front, http.MethodGet, "/read/1", nil)
		go func() {
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				statuses <- 0
				return
			}
			_ = response.Body.Close()
			statuses <- response.StatusCode
		}()
	}
	testwait.Eventually(t, "the calls wait for a configuration", func() bool { return front.plane.calls.Load() == calls })
	configure(t, ledgerRoutes, front)
	testwait.Eventually(t, "the calls wait for a worker", func() bool { return front.plane.knows("ledger") })
	exchangeRecords(front, back)
	for range calls {
		if status := <-statuses; status != http.StatusOK {
			t.Errorf("status %d", status)
		}
	}
}

// knows reports whether a call has looked up the service.
func (p *Plane) knows(service string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.destinations[service] != nil
}

// TestNodeThatHasRunForLongRefusesAtOnce calls a service without workers.
func TestNodeThatHasRunForLongRefusesAtOnce(t *testing.T) {
	front := startNode(t, "front", "other", nil)
	configure(t, ledgerRoutes, front)
	status, header, _ := get(t, front, "/read/1")
	report := <-front.reports
	if status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" || report.Reason != outcome.NoWorker {
		t.Errorf("%d %v, %v", status, header, report.Reason)
	}
}

// TestCallsDoNotCrowdAtTheFirstWorkers makes a node know one worker, which is full, before it
// learns of another one.
func TestCallsDoNotCrowdAtTheFirstWorkers(t *testing.T) {
	full, free := startWorker(t), startWorker(t)
	release := make(chan struct{})
	full.answer(func(http.ResponseWriter, *http.Request) { <-release })
	front := startNode(t, "front", "other", nil)
	front.plane.started = time.Now()
	first, second := startNode(t, "first", "ledger", full), startNode(t, "second", "ledger", free)
	configure(t, ledgerRoutes, front, first, second)
	exchangeRecords(front, first)
	for range 4 { // the slots of a worker
		go func() {
			if response, err := http.DefaultClient.Do(callerRequest(t, front, http.MethodGet, "/read/1", nil)); err == nil {
				_ = response.Body.Close()
			}
		}()
	}
	testwait.Eventually(t, "all slots are taken", func() bool { return full.calls.Load() == 4 })
	front.plane.destination("ledger").grewAt = time.Now().Add(time.Hour)
	answered := make(chan int, 1)
	go func() {
		status, _, _ := get(t, front, "/read/1")
		answered <- status
	}()
	testwait.Eventually(t, "the call was refused once", func() bool { return first.refusedHops.Load() > 0 })
	exchangeRecords(front, second)
	if status := <-answered; status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	close(release)
}

func TestHowLongACallWaitsForItsNodeToStart(t *testing.T) {
	const ms = time.Millisecond
	for _, test := range []struct {
		name                  string
		age, left, work, want time.Duration
	}{
		{"first moments", 10 * ms, 1200 * ms, 100 * ms, 540 * ms},
		{"long work", 10 * ms, 1200 * ms, 400 * ms, 400 * ms},
		{"no time for the work", 10 * ms, 200 * ms, 100 * ms, 0},
		{"node that has run for long", startPeriod, 1200 * ms, 100 * ms, 0},
	} {
		if wait := startWait(test.age, test.left, test.work); wait != test.want {
			t.Errorf("%s: %v, not %v", test.name, wait, test.want)
		}
	}
}
