package forwarding

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/quarantine"
	"github.com/levertide/levertide/pkg/workers"
)

// noCredentials are the credentials of a caller that sends none.
var noCredentials = make([]string, len(httpconn.CredentialHeaders))

// end ends the worker from within one of its requests: it closes its listener and all its
// connections.
func (w *testWorker) end() {
	_ = w.server.Listener.Close()
	w.server.CloseClientConnections()
}

// crashing makes a worker end when it runs a request whose path contains the mark.
func crashing(worker *testWorker, mark string) {
	worker.answer(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, mark) {
			worker.end()
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte("answer"))
	})
}

// meshOf starts a node without a worker and the given number of nodes with one each.
func meshOf(t *testing.T, count int) (front *testNode, nodes []*testNode, all []*testWorker) {
	t.Helper()
	front = startNode(t, "front", "other", nil)
	for n := range count {
		worker := startWorker(t)
		all = append(all, worker)
		nodes = append(nodes, startNode(t, string(rune('a'+n)), "ledger", worker))
	}
	mesh := append([]*testNode{front}, nodes...)
	configure(t, ledgerRoutes, mesh...)
	exchangeRecords(mesh...)
	return front, nodes, all
}

// TestCrashesAddUpAlongTheOffersOfACall sends a call that ends each worker, while nothing but the
// offers carries information between nodes: the levels go along with the offers.
func TestCrashesAddUpAlongTheOffersOfACall(t *testing.T) {
	front, _, all := meshOf(t, 5)
	for _, worker := range all {
		crashing(worker, "guilty")
	}
	status, header, _ := get(t, front, "/read/guilty")
	if status != http.StatusBadGateway || header.Get("Retry-After") != "" {
		t.Errorf("the call that ended its workers: %d, Retry-After %q", status, header.Get("Retry-After"))
	}
	status, header, body := get(t, front, "/read/guilty")
	if status != http.StatusBadRequest || header.Get("Retry-After") != "" || !strings.Contains(body, "crashed") {
		t.Errorf("the same call again: %d, Retry-After %q, %q", status, header.Get("Retry-After"), body)
	}
	var runs int64
	for _, worker := range all {
		runs += worker.calls.Load()
	}
	if runs != quarantine.DefaultLimit {
		t.Errorf("%d workers had the call, want %d", runs, quarantine.DefaultLimit)
	}
	reasons := []outcome.Reason{(<-front.reports).Reason, (<-front.reports).Reason}
	if reasons[0] != outcome.WorkerCrashed || reasons[1] != outcome.Quarantined {
		t.Errorf("the reasons are %v", reasons)
	}
	if status, _, _ := get(t, front, "/read/innocent"); status != http.StatusOK {
		t.Errorf("another call: status %d", status)
	}
}

// TestNodeBesideTheWorkerRefusesWhatItKnows checks that the node beside the worker refuses a
// quarantined request that the node where the call begins does not know.
func TestNodeBesideTheWorkerRefusesWhatItKnows(t *testing.T) {
	front, nodes, all := meshOf(t, 1)
	guilty := quarantine.Request{Method: http.MethodPost, Host: "mesh.example", Target: "/file/1", Credentials: noCredentials, Body: []byte("body"), BodyLength: 4}.Fingerprint()
	for n := range quarantine.DefaultLimit {
		nodes[0].plane.config.Quarantine.Crashed(guilty, string(rune('x'+n)), n, time.Now())
	}
	if status, _, _ := post(t, front, "/file/1", "body"); status != http.StatusBadRequest {
		t.Errorf("the call: status %d", status)
	}
	if status, _, _ := post(t, front, "/file/1", "another body"); status != http.StatusOK {
		t.Errorf("a call with another body: status %d", status)
	}
	if runs := all[0].calls.Load(); runs != 1 {
		t.Errorf("%d calls reached the worker", runs)
	}
}

// TestOtherCredentialsAreAnotherRequest quarantines a request of one caller: the same request of
// another caller is not affected.
func TestOtherCredentialsAreAnotherRequest(t *testing.T) {
	front, nodes, _ := meshOf(t, 1)
	credentials := []string{"Bearer one", ""}
	f := quarantine.Request{Method: http.MethodGet, Host: "mesh.example", Target: "/read/1", Credentials: credentials}.Fingerprint()
	for n := range quarantine.DefaultLimit {
		nodes[0].plane.config.Quarantine.Crashed(f, string(rune('x'+n)), n, time.Now())
	}
	for credential, want := range map[string]int{"Bearer one": http.StatusBadRequest, "Bearer two": http.StatusOK, "": http.StatusOK} {
		request := callerRequest(t, front, http.MethodGet, "/read/1", nil)
		request.Header.Set("Authorization", credential)
		if status, _, _ := ask(t, request); status != want {
			t.Errorf("%q: status %d, want %d", credential, status, want)
		}
	}
}

// TestLostAnswersMakeNoRequestSuspect makes a worker break off its answers while it continues to
// run.
func TestLostAnswersMakeNoRequestSuspect(t *testing.T) {
	front, nodes, all := meshOf(t, 1)
	all[0].answer(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	for range 5 {
		if status, _, _ := post(t, front, "/file/1", "body"); status != http.StatusBadGateway {
			t.Errorf("status %d", status)
		}
	}
	for _, node := range []*testNode{front, nodes[0]} {
		if !node.plane.config.Quarantine.Empty() {
			t.Error("a lost answer is taken for the end of the worker")
		}
	}
}

// TestCompleteAnswerClearsASuspect runs a request that was in progress when other workers ended,
// and is now answered.
func TestCompleteAnswerClearsASuspect(t *testing.T) {
	_, nodes, _ := meshOf(t, 1)
	suspect := quarantine.Request{Method: http.MethodGet, Host: "mesh.example", Target: "/read/1", Credentials: noCredentials}.Fingerprint()
	table := nodes[0].plane.config.Quarantine
	for n := range 2 {
		table.Crashed(suspect, string(rune('x'+n)), n, time.Now())
	}
	if status, _, _ := get(t, nodes[0], "/read/1"); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	if level, _ := table.Level(suspect, time.Now()); level != 0 {
		t.Errorf("level %d after a complete answer", level)
	}
}

// TestSuspectsRunOneAtATime sends several suspects to one worker, and other calls beside them.
func TestSuspectsRunOneAtATime(t *testing.T) {
	front, nodes, all := meshOf(t, 1)
	var suspects, most atomic.Int64
	all[0].answer(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, "suspect") {
			now := suspects.Add(1)
			defer suspects.Add(-1)
			for held := most.Load(); now > held && !most.CompareAndSwap(held, now); held = most.Load() {
			}
			time.Sleep(20 * time.Millisecond)
		}
		_, _ = w.Write([]byte("answer"))
	})
	var calls sync.WaitGroup
	for n := range 4 {
		path := "/read/suspect-" + string(rune('0'+n))
		f := quarantine.Request{Method: http.MethodGet, Host: "mesh.example", Target: path, Credentials: noCredentials}.Fingerprint()
		nodes[0].plane.config.Quarantine.Crashed(f, "another", 0, time.Now())
		calls.Go(func() {
			if status, _, _ := get(t, front, path); status != http.StatusOK {
				t.Errorf("a suspect: status %d", status)
			}
		})
		calls.Go(func() {
			if status, _, _ := get(t, front, "/read/other"); status != http.StatusOK {
				t.Errorf("another call: status %d", status)
			}
		})
	}
	calls.Wait()
	if most.Load() != 1 {
		t.Errorf("%d suspects ran side by side", most.Load())
	}
}

// TestHopOfAnOlderNodeIsRead parses a hop without the number of crashes, and hops with the fields
// of newer nodes.
func TestHopOfAnOlderNodeIsRead(t *testing.T) {
	sent := hop{service: "s", incarnation: workers.Incarnation{Instance: "i"}, caller: "c", rank: 2, waitLimit: time.Second, left: 2 * time.Second, level: 1}
	read, ok := parseHop(sent.encode())
	if !ok || read != sent {
		t.Errorf("read %+v, %v", read, ok)
	}
	encoded := sent.encode()
	older, ok := parseHop(encoded[:strings.LastIndex(encoded, hopSeparator)])
	sent.level = 0
	if !ok || older != sent {
		t.Errorf("of an older node: %+v, %v", older, ok)
	}
	sent.level, sent.incarnation.StartedAt = 1, 1790722800123
	if withStart, ok := parseHop(sent.encode()); !ok || withStart != sent {
		t.Errorf("with a start time: %+v, %v", withStart, ok)
	}
	if _, ok := parseHop(sent.encode() + hopSeparator + "1"); ok {
		t.Error("a hop with too many fields is accepted")
	}
	sent.work, sent.due = 40*time.Millisecond, time.Second
	if parsed, ok := parseHop(sent.encode()); !ok || parsed != sent {
		t.Errorf("with the work: %+v, %v", parsed, ok)
	}
	if _, ok := parseHop(sent.encode() + hopSeparator + "x"); ok {
		t.Error("a hop with a slowness that is no number is accepted")
	}
	sent.slowest = 1.37
	if parsed, ok := parseHop(sent.encode()); !ok || parsed != sent {
		t.Errorf("with the slowness: %+v, %v", parsed, ok)
	}
	if _, ok := parseHop(sent.encode() + hopSeparator + "1"); ok {
		t.Error("a hop with a field beyond the slowness is accepted")
	}
}
