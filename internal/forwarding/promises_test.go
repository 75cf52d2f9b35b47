package forwarding

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/outcome"
)

// TestRunThatItsWorkerAnswersLikeARefusalIsNoRefusal guards against passing on the status of a
// worker that has run a request as the promise that nobody did.
func TestRunThatItsWorkerAnswersLikeARefusalIsNoRefusal(t *testing.T) {
	front, back, worker := twoNodes(t)
	bodies := map[string]func() io.Reader{
		"no body":       func() io.Reader { return nil },
		"short body":    func() io.Reader { return strings.NewReader("vat") },
		"long body":     func() io.Reader { return strings.NewReader(strings.Repeat("x", 4*expectContinueBody)) },
		"chunks":        func() io.Reader { return io.MultiReader(strings.NewReader("vat")) },
		"long chunks":   func() io.Reader { return io.MultiReader(strings.NewReader(strings.Repeat("x", 4*expectContinueBody))) },
		"streamed body": func() io.Reader { return strings.NewReader(strings.Repeat("x", 2*bufferedBody)) },
	}
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		worker.answer(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set("X-Stamp", "worker")
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(status)
			_, _ = w.Write([]byte("ran"))
		})
		for place, node := range map[string]*testNode{"two nodes": front, "own worker": back} {
			for kind, body := range bodies {
				for _, method := range []string{http.MethodPost, http.MethodDelete} {
					t.Run(fmt.Sprint(status, "/", place, "/", method, " ", kind), func(t *testing.T) {
						request := callerRequest(t, node, method, "/file/1", body())
						got, header, text := ask(t, request)
						if PromisesNotRun(got) || header.Get("X-Stamp") != "" || text == "ran" || header.Get("Retry-After") != "" {
							t.Errorf("caller told %d, stamp %q, %q", got, header.Get("X-Stamp"), text)
						}
					})
				}
			}
			t.Run(fmt.Sprint(status, "/", place, "/repeatable"), func(t *testing.T) {
				got, header, text := get(t, node, "/read/1")
				if got != status || header.Get("X-Stamp") != "worker" || text != "ran" {
					t.Errorf("caller told %d, stamp %q, %q", got, header.Get("X-Stamp"), text)
				}
			})
		}
	}
}

// TestSecondCopyOfARefusalIsNoAnswerToTheNextOffer guards against a worker's late second copy of a
// refusal that comes in the place of the answer to the same request, offered to it once more.
func TestSecondCopyOfARefusalIsNoAnswerToTheNextOffer(t *testing.T) {
	for _, c := range []struct {
		place    string
		attempts int
	}{{"two nodes", 2}, {"two nodes", 3}, {"own worker", 2}, {"own worker", 3}} {
		t.Run(fmt.Sprint(c.place, ", attempts ", c.attempts), func(t *testing.T) {
			var runs atomic.Int64
			var refused atomic.Pointer[rawRequest]
			worker := startRawWorker(t, func(r rawRequest) {
				if r.number == 1 {
					refused.Store(&r)
					r.respond(http.StatusServiceUnavailable, "X-Not-Run: 1\r\n", "")
					return
				}
				runs.Add(1)
				// The second copy comes on the connection of the first one, and before the
				// answer of the run.
				refused.Load().respond(http.StatusServiceUnavailable, "X-Not-Run: 1\r\n", "")
				time.Sleep(20 * time.Millisecond)
				r.respond(http.StatusOK, "", "ran")
			})
			front, back := nodesBesideRawWorker(t, worker)
			configure(t, []routeSpec{{prefix: "/file/", service: "ledger", timeout: 5 * time.Second, attempts: c.attempts}}, front, back)
			node := front
			if c.place == "own worker" {
				node = back
			}
			// As under lasting overload: no further node may be asked, so that the same one is.
			for additional := node.plane.destination("ledger").additionalOffers; additional.Spend(time.Now()); {
			}
			status, _, _ := post(t, node, "/file/1", "vat")
			ran := runs.Load()
			if ran > 1 || ran > 0 && PromisesNotRun(status) {
				t.Errorf("told %d after %d runs", status, ran)
			}
			if worker.arrivals.Load() < 2 {
				t.Errorf("the worker was asked %d times: the case was not played", worker.arrivals.Load())
			}
		})
	}
}

// TestOnlyTheNodeThatWasAskedRefuses guards against taking what comes in the place of a node's
// answer for its refusal.
func TestOnlyTheNodeThatWasAskedRefuses(t *testing.T) {
	for name, header := range map[string]string{
		"refusal without an id":        "X-None: 1\r\nLevertide-Hop-Failure: overloaded,0,0\r\n",
		"refusal of another request":   "X-Id: another\r\nLevertide-Hop-Failure: overloaded,0,0\r\n",
		"two ids":                      "X-Id: id-1\r\nX-Id: another\r\nLevertide-Hop-Failure: overloaded,0,0\r\n",
		"no answer of a node":          "X-None: 1\r\n",
		"refusal that is not readable": "X-Id: id-1\r\nLevertide-Hop-Failure: no such reason,0,0\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			other := startRawWorker(t, func(r rawRequest) {
				fmt.Fprintf(r.conn, "HTTP/1.1 503 Service Unavailable\r\n%sContent-Length: 0\r\n\r\n", header)
			})
			front := startNode(t, "front", "desk", nil)
			back := startNode(t, "back", "ledger", startWorker(t))
			back.table.Update(func(own *fleet.Node) { own.CallAddress = netip.MustParseAddrPort(other.listener.Addr().String()) })
			exchangeRecords(front, back)
			configure(t, ledgerRoutes, front, back)
			if status, _, _ := post(t, front, "/file/1", "vat"); status != http.StatusBadGateway {
				t.Errorf("status %d after %d arrivals", status, other.arrivals.Load())
			}
		})
	}
}

// TestMarkOfARefusalOnAnAnswerOfARunIsNoRefusal guards against a worker that passes on the mark of
// a refusal which it got for a call of its own.
func TestMarkOfARefusalOnAnAnswerOfARunIsNoRefusal(t *testing.T) {
	front, _, worker := twoNodes(t)
	for _, status := range []int{http.StatusOK, http.StatusFound, http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout} {
		worker.answer(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(status)
		})
		if got, _, _ := post(t, front, "/file/1", "vat"); got != http.StatusBadGateway {
			t.Errorf("the worker answered %d with the mark: caller told %d", status, got)
		}
	}
	for _, status := range []int{http.StatusBadRequest, http.StatusRequestTimeout, http.StatusRequestEntityTooLarge, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		worker.answer(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(status)
		})
		if got, _, _ := post(t, front, "/file/1", "vat"); got != http.StatusServiceUnavailable {
			t.Errorf("the worker refused with %d: caller told %d", status, got)
		}
	}
}

// TestStatusPromisesOnlyWhatDidNotRun guards against a reason whose outcome is unknown and whose
// status callers take for a promise, and against one that surely did not run and is not told so.
func TestStatusPromisesOnlyWhatDidNotRun(t *testing.T) {
	final := map[outcome.Reason]bool{
		// With these the caller is not to come back with the same request.
		outcome.TooLarge: true, outcome.NoRoute: true, outcome.Unauthenticated: true, outcome.Malformed: true, outcome.Quarantined: true,
	}
	for _, reason := range outcome.Reasons() {
		status := statusOf(outcome.New(reason))
		if want := reason.Outcome() == outcome.NotRun && !final[reason]; PromisesNotRun(status) != want {
			t.Errorf("%s, %s: status %d", reason, reason.Outcome(), status)
		}
	}
}
