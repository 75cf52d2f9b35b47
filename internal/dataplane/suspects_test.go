package dataplane

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/quarantine"
)

// crashingWorker crashes when it runs a request whose path contains "guilty".
type crashingWorker struct {
	node  *testNode
	ended atomic.Bool
}

// crashingWorkers starts workers with a node beside each, and counts the runs that crash one.
func crashingWorkers(t *testing.T, m *mesh, ids ...string) (all []*crashingWorker, runs *atomic.Int64) {
	t.Helper()
	runs = new(atomic.Int64)
	for _, id := range ids {
		worker := &crashingWorker{}
		var server *httptest.Server
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.Contains(r.URL.Path, "guilty") {
				runs.Add(1)
				worker.ended.Store(true)
				_ = server.Listener.Close()
				server.CloseClientConnections()
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, "answer")
		}))
		t.Cleanup(server.Close)
		worker.node = m.addWorker(id, server.Listener.Addr().String())
		all = append(all, worker)
	}
	return all, runs
}

// TestCrashingRequestIsStoppedAtAllNodes sends a request that crashes each worker, through
// one node and then through another, which gets the evidence from calls only.
func TestCrashingRequestIsStoppedAtAllNodes(t *testing.T) {
	m := newMesh(t)
	all, runs := crashingWorkers(t, m, "a", "b", "c", "d", "e", "f")
	other := m.start("other", "")
	stopped := false
	for range 8 {
		answered := m.call(http.MethodGet, "/always/guilty", "")
		if stopped = answered.status == http.StatusBadRequest; stopped {
			answered.expect(t, http.StatusBadRequest, "not-run", outcome.Quarantined)
			break
		}
	}
	if !stopped || runs.Load() != quarantine.DefaultLimit {
		t.Fatalf("stopped: %v, after %d workers", stopped, runs.Load())
	}
	// The nodes beside the remaining workers get the evidence with the next calls, some of
	// which reach the nodes of workers that have ended.
	guilty := quarantine.Request{Method: http.MethodGet, Host: testHost, Target: "/always/guilty", Credentials: []string{"", ""}}.Fingerprint()
	eventually(t, "all nodes beside remaining workers know the request", func() bool {
		m.call(http.MethodGet, "/always/innocent", "")
		for _, worker := range all {
			if _, known := worker.node.plane.config.Quarantine.Level(guilty, time.Now()); !known && !worker.ended.Load() {
				return false
			}
		}
		return true
	})
	m.entry = other
	for range 4 {
		if answered := m.call(http.MethodGet, "/always/guilty", ""); answered.status == http.StatusOK {
			t.Errorf("answered with %d", answered.status)
		}
	}
	if runs.Load() != quarantine.DefaultLimit {
		t.Errorf("%d workers ended in all", runs.Load())
	}
	eventually(t, "another request is answered", func() bool {
		return m.call(http.MethodGet, "/always/innocent", "").status == http.StatusOK
	})
}

// TestLostAnswerIsNoCrash uses a worker that aborts its answers and keeps running.
func TestLostAnswerIsNoCrash(t *testing.T) {
	m := newMesh(t)
	node := m.addHandler("a", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	for range 4 {
		m.call(http.MethodPost, "/never/one", "body").expect(t, http.StatusBadGateway, "unknown", outcome.ConnectionLost)
	}
	if !node.plane.config.Quarantine.Empty() || !m.entry.plane.config.Quarantine.Empty() {
		t.Error("a lost answer was recorded as a crash of the worker")
	}
}

// TestAnswerClearsASuspectOfTheMesh has a worker answer a request that two others were
// running when they crashed.
func TestAnswerClearsASuspectOfTheMesh(t *testing.T) {
	m := newMesh(t)
	node := m.addHandler("a", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
	f := quarantine.Request{Method: http.MethodGet, Host: testHost, Target: "/always/one", Credentials: []string{"", ""}}.Fingerprint()
	for n := range 2 {
		node.plane.config.Quarantine.Crashed(f, string(rune('x'+n)), n, time.Now())
	}
	m.call(http.MethodGet, "/always/one", "").expectBody(t, "answer")
	eventually(t, "the suspect is cleared", func() bool {
		level, _ := node.plane.config.Quarantine.Level(f, time.Now())
		return level == 0
	})
}

// TestSuspendedNodeGivesNoTimeThatCallersLack suspends the machine of the node where a call
// begins: the deadline for the worker must not include that time.
func TestSuspendedNodeGivesNoTimeThatCallersLack(t *testing.T) {
	const suspension = 3 * time.Second
	var given atomic.Value
	m := newMesh(t, func(config *Config) {
		config.Suspended = func(time.Time) time.Duration { return suspension }
	})
	m.addHandler("a", func(w http.ResponseWriter, r *http.Request) { given.Store(r.Header.Get("Levertide-Deadline-Ms")) })
	m.call(http.MethodGet, "/always/one", "").expect(t, http.StatusOK, "")
	text, _ := given.Load().(string)
	left, err := time.ParseDuration(text + "ms")
	if err != nil || left > 10*time.Second-suspension {
		t.Errorf("the worker was given %q ms of 10 s, of which 3 s were suspended: %v", text, err)
	}
}
