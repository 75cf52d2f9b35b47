package forwarding

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/slotqueue"
	"github.com/levertide/levertide/pkg/workers"
)

// termsDialect is a dialect in which workers state the requests that they take.
var termsDialect = func() Dialect {
	dialect := testDialect
	dialect.WorkerTerms = func(header http.Header) (workers.Terms, error) {
		limit, err := workers.ParseLimit(header["X-Limit"])
		return workers.Terms{Limit: limit, Leaving: header.Get("X-Leaving") != "", LimitUnreadable: err != nil}, err
	}
	return dialect
}()

// stateTerms makes a worker state terms in all its answers; an empty limit is left out.
func (w *testWorker) stateTerms(limit string, leaving bool) {
	w.answer(func(out http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if limit != "" {
			out.Header().Set("X-Limit", limit)
		}
		if leaving {
			out.Header().Set("X-Leaving", "1")
		}
	})
}

// startTermsNode starts a node whose dialect reads the terms of workers.
func startTermsNode(t *testing.T, id, service string, worker *testWorker) *testNode {
	t.Helper()
	node := startNode(t, id, service, worker)
	node.plane.config.Dialect = termsDialect
	return node
}

// startPair starts a worker that states terms, the node beside it, and another one.
func startPair(t *testing.T, limit string, leaving bool) (worker *testWorker, front, beside *testNode) {
	t.Helper()
	worker = startWorker(t)
	worker.stateTerms(limit, leaving)
	front, beside = startTermsNode(t, "front", "desk", nil), startTermsNode(t, "beside", "ledger", worker)
	exchangeRecords(front, beside)
	configure(t, ledgerRoutes, front, beside)
	return worker, front, beside
}

// send sends requests to nodes in turn, many at a time, and returns how many were answered by a
// worker, and how long it took.
func send(t *testing.T, requests int, nodes ...*testNode) (served int, took time.Duration) {
	t.Helper()
	const atOnce = 20
	began := time.Now()
	var sending sync.WaitGroup
	var mu sync.Mutex
	turns := make(chan int)
	for range atOnce {
		sending.Go(func() {
			for n := range turns {
				request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, nodes[n%len(nodes)].caller.URL+"/read/"+strconv.Itoa(n), nil)
				if err != nil {
					t.Error(err)
					continue
				}
				request.Host = "mesh.example"
				request.Header.Set("X-Id", "id-"+strconv.Itoa(n))
				request.Header.Set("X-Timeout", "4000")
				response, err := http.DefaultClient.Do(request)
				if err != nil {
					t.Error(err)
					continue
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				mu.Lock()
				if response.StatusCode == http.StatusOK {
					served++
				}
				mu.Unlock()
			}
		})
	}
	for n := range requests {
		turns <- n
	}
	close(turns)
	sending.Wait()
	return served, time.Since(began)
}

// mostAllowed returns how many requests a worker with a limit may get in some time.
func mostAllowed(perSecond float64, took time.Duration) int64 {
	return int64(1.5*perSecond*took.Seconds() + 5)
}

// TestWorkerGetsNoMoreThanTheLimitThatItNames sends many requests from three nodes, one of them
// beside the worker, after the worker has named its limit.
func TestWorkerGetsNoMoreThanTheLimitThatItNames(t *testing.T) {
	worker := startWorker(t)
	worker.stateTerms("5", false)
	first, second := startTermsNode(t, "first", "desk", nil), startTermsNode(t, "second", "desk", nil)
	beside := startTermsNode(t, "beside", "ledger", worker)
	exchangeRecords(first, second, beside)
	configure(t, ledgerRoutes, first, second, beside)
	send(t, 3, first, second, beside)
	worker.calls.Store(0)
	_, took := send(t, 300, first, second, beside)
	if got, most := worker.calls.Load(), mostAllowed(5, took); got > most {
		t.Errorf("the worker got %d requests in %v at a limit of 5 a second, allowed %d", got, took, most)
	}
}

// TestWorkerThatLeavesByItsAnswersGetsNothingNew sends requests from two nodes after the worker has
// stated that it leaves; its heartbeats say that it serves.
func TestWorkerThatLeavesByItsAnswersGetsNothingNew(t *testing.T) {
	worker, front, beside := startPair(t, "", true)
	send(t, 2, front, beside)
	worker.calls.Store(0)
	beside.heartbeat(t, "w-beside", "ledger", worker, 2, false)
	send(t, 20, front, beside)
	if got := worker.calls.Load(); got > 0 {
		t.Errorf("a worker that leaves got %d requests", got)
	}
}

// TestLimitOutlivesTheNodeBesideTheWorker starts the node beside a limited worker again: the node
// that knows the limit tells it with its first request.
func TestLimitOutlivesTheNodeBesideTheWorker(t *testing.T) {
	const perSecond = 0.5
	worker := startWorker(t)
	worker.stateTerms("0.5", false)
	front, before := startTermsNode(t, "front", "desk", nil), startTermsNode(t, "beside", "ledger", worker)
	exchangeRecords(front, before)
	configure(t, ledgerRoutes, front, before)
	send(t, 1, front)
	after := startTermsNode(t, "beside", "ledger", worker)
	after.table.Update(func(own *fleet.Node) { own.Incarnation = 2 })
	exchangeRecords(front, after)
	configure(t, ledgerRoutes, after)
	worker.calls.Store(0)
	_, took := send(t, 40, front)
	// A node that is told begins without a start saved up; without being told it fills the slots.
	if got, most := worker.calls.Load(), int64(perSecond*took.Seconds()); got > most {
		t.Errorf("the worker got %d requests in %v after its node had started again, want %d at most", got, took, most)
	}
	if after.refusedHops.Load() == 0 {
		t.Error("the run shows nothing: the new node got no call")
	}
}

// TestNodeThatHeardTheWorkerAdoptsNoOlderLimit ends a limit at the node beside the worker, while
// another node still holds it.
func TestNodeThatHeardTheWorkerAdoptsNoOlderLimit(t *testing.T) {
	worker, front, beside := startPair(t, "0.2", false)
	send(t, 1, front)
	client, err := beside.plane.local.find("ledger", workers.Incarnation{})
	if err != nil {
		t.Fatal(err)
	}
	worker.stateTerms("", false)
	client.observeTerms(http.Header{}, time.Now())
	if client.terms.Terms().Limit.Set {
		t.Fatal("the limit has not ended")
	}
	if served, _ := send(t, 20, front); served != 20 {
		t.Errorf("%d of 20 requests are served after the limit has ended", served)
	}
	if _, known := front.plane.terms.Of(workers.Incarnation{Instance: "w-beside"}, time.Now()); known {
		t.Error("the other node still holds the limit")
	}
}

// TestCallersCannotNameALimit sends the header between nodes as a caller, and as a worker.
func TestCallersCannotNameALimit(t *testing.T) {
	worker := startWorker(t)
	worker.answer(func(out http.ResponseWriter, _ *http.Request) { out.Header().Set(termsHeader, "0.1,1,0,0") })
	front, beside := startTermsNode(t, "front", "desk", nil), startTermsNode(t, "beside", "ledger", worker)
	exchangeRecords(front, beside)
	configure(t, ledgerRoutes, front, beside)
	for range 10 {
		request := callerRequest(t, front, http.MethodGet, "/read/1", nil)
		request.Header.Set(termsHeader, "0.1,1,0,0")
		status, header, _ := ask(t, request)
		if status != http.StatusOK || len(header[termsHeader]) > 0 {
			t.Fatalf("status %d, %v", status, header[termsHeader])
		}
	}
}

// TestOtherWorkersTakeWhatALimitedOneDoesNot sends more than a limited worker takes while another
// one is free.
func TestOtherWorkersTakeWhatALimitedOneDoesNot(t *testing.T) {
	limited, free := startWorker(t), startWorker(t)
	limited.stateTerms("2", false)
	front := startTermsNode(t, "front", "desk", nil)
	first, second := startTermsNode(t, "first", "ledger", limited), startTermsNode(t, "second", "ledger", free)
	exchangeRecords(front, first, second)
	configure(t, ledgerRoutes, front, first, second)
	const requests = 300
	served, took := send(t, requests, front)
	if served != requests {
		t.Errorf("%d of %d requests are served", served, requests)
	}
	// The first requests at a time come before the limit is known.
	if got, most := limited.calls.Load(), mostAllowed(2, took)+20; got > most {
		t.Errorf("the limited worker got %d, allowed %d", got, most)
	}
}

// TestRefusalByALimitCostsNoAdditionalOffer has a call refused where additional offers are used up and
// the round trip was long.
func TestRefusalByALimitCostsNoAdditionalOffer(t *testing.T) {
	_, front, _ := startPair(t, "", false)
	o := &offers{
		call: &call{plane: front.plane, body: &requestBody{}}, destination: front.plane.destination("ledger"),
		latestStart: time.Now().Add(testTimeout), roundTrip: time.Second,
	}
	for o.destination.additionalOffers.Spend(time.Now()) {
	}
	full := outcome.New(outcome.Overloaded)
	if o.mayContinue(t.Context(), withLoad(full, slotqueue.Load{Slots: 4}), false) {
		t.Error("a call is offered again under overload")
	}
	if !o.mayContinue(t.Context(), withLoad(full, slotqueue.Load{Slots: 4, Interval: time.Second}), false) {
		t.Error("a call that a limit has refused is not offered to another worker")
	}
}

// TestLimitRefusesAtOnceWithTheTimeWhenRoomComes has all copies of a service limited.
func TestLimitRefusesAtOnceWithTheTimeWhenRoomComes(t *testing.T) {
	_, front, _ := startPair(t, "0.1", false)
	send(t, 1, front)
	<-front.reports
	request := callerRequest(t, front, http.MethodGet, "/short/1", nil)
	status, header, _ := ask(t, request)
	report := <-front.reports
	if status != http.StatusServiceUnavailable || report.Reason != outcome.Overloaded || report.Limit != "0.1" {
		t.Fatalf("status %d, %+v", status, report)
	}
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || seconds < 5 || seconds > 10 {
		t.Errorf("Retry-After %q where a start comes every ten seconds", header.Get("Retry-After"))
	}
}

// TestNobodyWaitsForWorkersThatAllLeave has all copies of a service leave by their answers.
func TestNobodyWaitsForWorkersThatAllLeave(t *testing.T) {
	_, front, _ := startPair(t, "", true)
	send(t, 1, front)
	<-front.reports
	if status, header, _ := get(t, front, "/read/1"); status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("status %d, %v", status, header)
	}
	if report := <-front.reports; report.Arrivals != 0 || report.Reason != outcome.NoWorker {
		t.Errorf("%+v", report)
	}
}

// TestWaitForALimitPasses looks at a limited endpoint some time after its report.
func TestWaitForALimitPasses(t *testing.T) {
	now := time.Now()
	e := &endpoint{
		report:     slotqueue.Load{Slots: 4, Interval: 200 * time.Millisecond, NextStart: 300 * time.Millisecond},
		reportedAt: now, reportedOutstanding: 1, outstanding: 1,
	}
	if wait := e.nextStart(now); wait != 300*time.Millisecond {
		t.Errorf("%v at once", wait)
	}
	if wait := e.nextStart(now.Add(100 * time.Millisecond)); wait != 200*time.Millisecond {
		t.Errorf("%v after a while", wait)
	}
	e.outstanding = 3
	if wait := e.nextStart(now.Add(100 * time.Millisecond)); wait != 600*time.Millisecond {
		t.Errorf("%v after two more requests", wait)
	}
	if wait := e.nextStart(now.Add(time.Second)); wait != 0 {
		t.Errorf("%v after a second", wait)
	}
}

// TestRefusalOfANodeThatKnowsNothingEndsNoLimit has the node beside a limited worker refuse a call
// before it looks at the worker.
func TestRefusalOfANodeThatKnowsNothingEndsNoLimit(t *testing.T) {
	_, front, beside := startPair(t, "5", false)
	send(t, 1, front)
	beside.plane.Stop()
	if served, _ := send(t, 1, front); served != 0 {
		t.Fatal("the node that stops has served a call")
	}
	if news, known := front.plane.terms.Of(workers.Incarnation{Instance: "w-beside"}, time.Now()); !known || news.Terms.Limit.PerSecond != 5 {
		t.Errorf("after the refusal: %+v, %v", news, known)
	}
}
