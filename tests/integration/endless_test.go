package integration_test

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/levertide/levertide/internal/testendless"
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/retry"
	"github.com/levertide/levertide/tests/integration/harness"
)

const (
	desk     = "desk"
	deskPath = "/desk"
	// playPath comes before the number of the form that a request is answered with.
	playPath = "/play/"
	// endlessAtOnce is how many endless answers are asked for at a time, endlessDeadline the deadline of
	// each in milliseconds.
	endlessAtOnce   = 48
	endlessDeadline = "500"
	// endlessTime is the time by which each form was begun.
	endlessTime = time.Minute
	// nodeMemory is the memory of a machine, in bytes.
	nodeMemory = 284 << 20
)

// endlessWorker answers requests with forms, and health checks with each of them in turn.
type endlessWorker struct {
	forms []testendless.Form

	mu sync.Mutex
	// begun counts the answers by form, open those that the node still takes, checks the health checks.
	begun        map[int]int
	open, checks int
}

func newEndlessWorker() *endlessWorker {
	w := &endlessWorker{begun: map[int]int{}}
	for _, name := range slices.Sorted(maps.Keys(testendless.Forms)) {
		w.forms = append(w.forms, testendless.Forms[name])
	}
	return w
}

// ServeHTTP implements http.Handler.
func (w *endlessWorker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	_, text, found := strings.Cut(r.URL.Path, playPath)
	number, err := strconv.Atoi(text)
	if !found || err != nil {
		number = w.nextCheck()
	}
	conn, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	w.count(number, 1)
	w.forms[number].Write(conn, "", false)
	w.count(number, -1)
}

func (w *endlessWorker) nextCheck() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checks++
	return w.checks % len(w.forms)
}

func (w *endlessWorker) count(number, change int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open += change
	if change > 0 {
		w.begun[number]++
	}
}

// missing returns the forms that were not begun.
func (w *endlessWorker) missing() []int {
	w.mu.Lock()
	defer w.mu.Unlock()
	var numbers []int
	for number := range w.forms {
		if w.begun[number] == 0 {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

func (w *endlessWorker) allClosed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.open == 0
}

// deskResources returns the resources of the first generation with a service and a route of its own.
func deskResources() []model.Resource {
	set := resources(1)
	set[0].Service.Calls = []string{desk, ledger}
	return append(set,
		model.Resource{Key: model.Key{Kind: model.KindService, Name: desk}, Service: &model.Service{
			Calls: []string{}, Slots: 6, Connections: 130, Queue: 12, Timeout: 30 * time.Second,
		}},
		model.Resource{Key: model.Key{Kind: model.KindRoute, Name: desk}, Route: &model.Route{
			Match: model.Match{Host: "*", PathPrefix: deskPath}, Service: desk, Repeatable: model.RepeatSafeMethods, Priority: model.PriorityNormal,
		}},
	)
}

// startEndless returns a mesh with a worker that answers without end, and the nodes that call it.
func startEndless(t *testing.T, worker *endlessWorker) (*harness.Mesh, []*harness.Node) {
	t.Helper()
	server := httptest.NewServer(worker)
	t.Cleanup(server.Close)
	mesh := harness.New(t,
		harness.NodeOptions{Name: "a-gateway", Zone: "a"},
		harness.NodeOptions{Name: "a-desk-1", Zone: "a", Service: desk},
		harness.NodeOptions{Name: "a-ledger-1", Zone: "a", Service: ledger, Settings: map[string]string{"worker-address": server.Listener.Addr().String()}},
	)
	mesh.StartAll()
	version := mesh.Operator.Apply(deskResources())
	mesh.AwaitVersion(version, mesh.Nodes("")...)
	mesh.AwaitReady(mesh.Nodes("")...)
	nodes := []*harness.Node{mesh.Node("a-gateway"), mesh.Node("a-ledger-1")}
	for _, node := range nodes {
		mesh.Eventually(node.Name+" knows the other service", func() bool { return callDesk(t, node).Status == http.StatusOK })
	}
	return mesh, nodes
}

// callDesk calls the other service.
func callDesk(t *testing.T, node *harness.Node) harness.Answer {
	t.Helper()
	return harness.Call(t.Context(), node, harness.Request{Method: http.MethodGet, Path: deskPath})
}

// TestWorkerThatAnswersWithoutEndCostsNoOtherService guards against bytes without end from a worker, also
// in health checks, that fill the memory of the node which has called it.
func TestWorkerThatAnswersWithoutEndCostsNoOtherService(t *testing.T) {
	t.Parallel()
	worker := newEndlessWorker()
	mesh, nodes := startEndless(t, worker)
	for end := time.Now().Add(endlessTime); len(worker.missing()) > 0 && time.Now().Before(end); {
		playForms(t, nodes, worker)
	}
	if missing := worker.missing(); len(missing) > 0 {
		t.Errorf("forms %d were never begun", missing)
	}
	mesh.Eventually("the nodes have closed the connections of endless answers", worker.allClosed)
}

// TestBytesBehindAnAnswerAreNoLogLine guards against a worker that writes into the log of its node.
func TestBytesBehindAnAnswerAreNoLogLine(t *testing.T) {
	t.Parallel()
	worker := newEndlessWorker()
	mesh, nodes := startEndless(t, worker)
	for end := time.Now().Add(endlessTime); len(worker.missing()) > 0 && time.Now().Before(end); {
		playForms(t, nodes, worker)
	}
	for _, line := range mesh.Events.Lines() {
		_, written, _ := strings.Cut(line, " ")
		if !strings.HasPrefix(written, "{") {
			t.Errorf("a line is no event: %.200q", line)
		}
	}
}

// playForms asks for endless answers, and checks the other service and the memory of the nodes meanwhile.
func playForms(t *testing.T, nodes []*harness.Node, worker *endlessWorker) {
	t.Helper()
	var clients sync.WaitGroup
	for n := range endlessAtOnce {
		number := n % len(worker.forms)
		if missing := worker.missing(); len(missing) > 0 {
			number = missing[n%len(missing)]
		}
		clients.Go(func() { askForEndless(t, nodes[n%len(nodes)], number, worker.forms[number]) })
	}
	for _, node := range nodes {
		answer := callDesk(t, node)
		if answer.Err != nil || answer.Outcome != outcome.Answered || answer.Status != http.StatusOK {
			t.Errorf("%s: the other service beside endless answers: %+v", node.Name, answer)
		}
		if held := node.Usage().Resident; held > nodeMemory {
			t.Errorf("%s holds %d MB", node.Name, held>>20)
		}
	}
	clients.Wait()
}

// askForEndless asks for an endless answer, which must not look whole.
func askForEndless(t *testing.T, node *harness.Node, number int, form testendless.Form) {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, fmt.Sprintf("http://%s%s%s%d", node.CallerAddress(), path(1), playPath, number), nil)
	if err != nil {
		t.Error(err)
		return
	}
	r.Header.Set(retry.DeadlineHeader, endlessDeadline)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	length, err := io.Copy(io.Discard, response.Body)
	if err == nil && response.StatusCode < http.StatusBadRequest && !form.Whole() {
		t.Errorf("%s, form %d: status %d, %d bytes look whole", node.Name, number, response.StatusCode, length)
	}
}
