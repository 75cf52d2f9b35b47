package forwarding

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/levertide/levertide/internal/testwait"
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/routing"
	"github.com/levertide/levertide/pkg/slotqueue"
	"github.com/levertide/levertide/pkg/workers"
)

func TestDrainingWorkerGetsNoNewCalls(t *testing.T) {
	front, back, worker := twoNodes(t)
	if status, _, _ := get(t, front, "/read/1"); status != http.StatusOK {
		t.Fatal("the worker is not reached")
	}
	back.heartbeat(t, "w-back", "ledger", worker, 2, true)
	before := worker.calls.Load()
	// The node where the call begins does not know of the drain yet.
	for _, node := range []*testNode{front, back} {
		if status, _, _ := get(t, node, "/read/1"); status != http.StatusServiceUnavailable {
			t.Errorf("status %d", status)
		}
	}
	if worker.calls.Load() != before {
		t.Error("a worker that drains was given work")
	}
}

func TestWorkerThatWasReplacedRunsNothing(t *testing.T) {
	front, back, worker := twoNodes(t)
	worker.answer(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) })
	if status, _, _ := post(t, front, "/file/1", "vat"); status != http.StatusServiceUnavailable {
		t.Errorf("status %d", status)
	}
	before := worker.calls.Load()
	if status, _, _ := post(t, back, "/file/1", "vat"); status != http.StatusServiceUnavailable || worker.calls.Load() != before {
		t.Errorf("status %d, %d calls", status, worker.calls.Load()-before)
	}
}

func TestWeightsAreKept(t *testing.T) {
	one, two := startWorker(t), startWorker(t)
	front, first, second := startNode(t, "front", "desk", nil), startNode(t, "first", "ledger", one), startNode(t, "second", "archive", two)
	exchangeRecords(front, first, second)
	configure(t, []routeSpec{{
		prefix: "/read/", service: "ledger", safe: true, timeout: 5 * time.Second,
		backends: []model.Backend{{Service: "ledger", Weight: 90}, {Service: "archive", Weight: 10}},
	}}, front, first, second)
	for range 100 {
		get(t, front, "/read/1")
	}
	if one.calls.Load() != 90 || two.calls.Load() != 10 {
		t.Errorf("%d and %d of 100", one.calls.Load(), two.calls.Load())
	}
}

func TestRetriesStayWithinTheBudget(t *testing.T) {
	worker := startWorker(t)
	worker.answer(func(w http.ResponseWriter, _ *http.Request) { reset(hijack(t, w)) })
	front := startNode(t, "front", "desk", nil)
	var nodes []*testNode
	for _, id := range []string{"n1", "n2", "n3"} {
		nodes = append(nodes, startNode(t, id, "ledger", worker))
	}
	all := append(nodes, front)
	exchangeRecords(all...)
	configure(t, ledgerRoutes, all...)
	const calls = 100
	for range calls {
		get(t, front, "/read/1")
	}
	allowed := int64(calls + calls/5 + 100/len(all))
	if worker.calls.Load() > allowed {
		t.Errorf("%d arrivals for %d calls, at most %d allowed", worker.calls.Load(), calls, allowed)
	}
}

func TestOverloadIsRefusedAtOnceWithATimeToComeBack(t *testing.T) {
	front, _, worker := twoNodes(t)
	release := make(chan struct{})
	worker.answer(func(http.ResponseWriter, *http.Request) { <-release })
	// The test's worker has four slots.
	for range 4 {
		go func() {
			request := callerRequest(t, front, http.MethodGet, "/read/1", nil)
			if response, err := http.DefaultClient.Do(request); err == nil {
				_ = response.Body.Close()
			}
		}()
	}
	testwait.Eventually(t, "all slots are taken", func() bool { return worker.calls.Load() == 4 })
	status, header, _ := post(t, front, "/short/1", "vat")
	if status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("%d %v", status, header)
	}
	if worker.calls.Load() != 4 {
		t.Error("the refused call reached the worker")
	}
	close(release)
}

// TestCallThatAllRefuseWaitsWhereItIsLeastBusy fills the workers of more nodes than a call is
// offered to: it waits at the last one until a slot is free.
func TestCallThatAllRefuseWaitsWhereItIsLeastBusy(t *testing.T) {
	worker := startWorker(t)
	nodes := []*testNode{startNode(t, "front", "desk", nil)}
	for n := range maximumRefusals + 1 {
		nodes = append(nodes, startNode(t, fmt.Sprint("back-", n), "ledger", worker))
	}
	front, backs := nodes[0], nodes[1:]
	exchangeRecords(nodes...)
	configure(t, ledgerRoutes, nodes...)
	var filled []slotqueue.Permit
	for _, back := range backs {
		filled = append(filled, fill(t, back)...)
	}
	answered := make(chan int, 1)
	go func() {
		status, _, _ := post(t, front, "/file/1", "vat")
		answered <- status
	}()
	testwait.Eventually(t, "all but the last node have refused", func() bool {
		refused := int64(0)
		for _, back := range backs {
			refused += back.refusedHops.Load()
		}
		return refused == maximumRefusals-1
	})
	for _, permit := range filled {
		permit.Release(false)
	}
	if status := <-answered; status != http.StatusOK {
		t.Errorf("status %d", status)
	}
}

// fill takes all slots of the worker beside a node.
func fill(t *testing.T, node *testNode) []slotqueue.Permit {
	t.Helper()
	client, err := node.plane.local.find("ledger", workers.Incarnation{})
	if err != nil {
		t.Fatal(err)
	}
	var permits []slotqueue.Permit
	for range client.load().Slots {
		permit, err := client.queue.Admit(t.Context(), slotqueue.Request{LatestStart: time.Now().Add(testTimeout)})
		if err != nil {
			t.Fatal(err)
		}
		permits = append(permits, permit)
	}
	return permits
}

// TestNestedCallWaitsLongerAndGoesFirst fills a worker and makes a call of a caller and a nested
// call wait for it.
func TestNestedCallWaitsLongerAndGoesFirst(t *testing.T) {
	front, back, worker := twoNodes(t)
	for _, node := range []*testNode{front, back} {
		node.plane.config.Dialect.Parent = slashParent
	}
	release := make(chan struct{})
	worker.answer(func(http.ResponseWriter, *http.Request) { <-release })
	for range 4 {
		go func() {
			if response, err := http.DefaultClient.Do(callerRequest(t, front, http.MethodGet, "/read/1", nil)); err == nil {
				_ = response.Body.Close()
			}
		}()
	}
	testwait.Eventually(t, "all slots are taken", func() bool { return worker.calls.Load() == 4 })
	nested := callerRequest(t, front, http.MethodGet, "/short/1", nil)
	nested.Header.Set("X-Id", "parent/1")
	done := make(chan int, 1)
	go func() {
		response, err := http.DefaultClient.Do(nested)
		if err != nil {
			done <- 0
			return
		}
		_ = response.Body.Close()
		done <- response.StatusCode
	}()
	testwait.Eventually(t, "the nested call waits", func() bool { return back.plane.hops.Load() == 5 })
	if status, _, _ := post(t, front, "/short/1", "vat"); status != http.StatusServiceUnavailable {
		t.Errorf("a call of a caller: status %d", status)
	}
	close(release)
	if status := <-done; status != http.StatusOK {
		t.Errorf("the nested call: status %d", status)
	}
}

// TestOverloadedCallersAreSpread checks the retry times reported to callers: by the target of
// their route after an overload, short ones after anything else.
func TestOverloadedCallersAreSpread(t *testing.T) {
	const target = 400 * time.Millisecond
	c := &call{route: &routing.Route{Config: &model.Route{TargetLatency: target}}}
	waits := map[time.Duration]bool{}
	for range 50 {
		wait := c.retryAfter(outcome.WithRetryAfter(outcome.Overloaded, time.Millisecond))
		if wait < 3*target/2 || wait > 3*target {
			t.Fatalf("retry after %v", wait)
		}
		waits[wait] = true
	}
	if len(waits) < 25 {
		t.Errorf("only %d different times", len(waits))
	}
	if wait := c.retryAfter(outcome.New(outcome.NotReady)); wait > defaultRetryAfter {
		t.Errorf("retry after %v for a node that starts", wait)
	}
	c.route.Config.TargetLatency = time.Hour
	if wait := c.retryAfter(outcome.New(outcome.Overloaded)); wait > longestRetryAfter {
		t.Errorf("retry after %v", wait)
	}
}
