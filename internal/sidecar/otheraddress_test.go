package sidecar

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/internal/lab/hostedstore"
	"github.com/levertide/levertide/internal/settings"
	"github.com/levertide/levertide/internal/testwait"
	"github.com/levertide/levertide/pkg/workers"
)

// instanceServer is a worker whose instance can change.
type instanceServer struct {
	instance atomic.Pointer[string]
	// silent is set while it answers no probe, unwell while it answers them with status 503, terse while its answers
	// do not tell its load.
	silent, unwell, terse atomic.Bool
	address               netip.AddrPort
}

func startInstance(t *testing.T, instance string) *instanceServer {
	t.Helper()
	s := &instanceServer{}
	s.instance.Store(&instance)
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	s.address = netip.MustParseAddrPort(server.Listener.Addr().String())
	return s
}

// ServeHTTP tells who answers, and refuses requests for another instance.
func (s *instanceServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	instance := *s.instance.Load()
	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	expected := r.Header.Get("X-Expect")
	switch {
	case expected == "" && s.silent.Load():
		w.WriteHeader(http.StatusServiceUnavailable)
	case expected == "" && s.unwell.Load():
		w.Header().Set("X-Instance", instance)
		w.WriteHeader(http.StatusServiceUnavailable)
	case expected != "" && expected != instance:
		w.WriteHeader(http.StatusMisdirectedRequest)
	default:
		w.Header().Set("X-Instance", instance)
		if s.terse.Load() {
			w.Header().Set("X-Terse", "1")
		}
		_, _ = io.WriteString(w, instance)
	}
}

// startBeside starts a node beside a worker, which it registers.
func startBeside(t *testing.T, worker *instanceServer) *runningNode {
	t.Helper()
	store := hostedstore.New()
	store.Put(testDocument{Version: 1, Routes: map[string]string{"/ledger/": "books"}}.encode())
	n := startNodeWith(t, store, settings.Settings{NodeID: "a1", Service: "books", WorkerAddress: worker.address.String(), MetricsAddress: "127.0.0.1:0"})
	testwait.Eventually(t, "the node is ready", n.isReady)
	n.heartbeat(t, *worker.instance.Load(), "books", worker.address.String())
	return n
}

// mustAnswer checks which instance is given a call.
func (n *runningNode) mustAnswer(t *testing.T, instance string) {
	t.Helper()
	status, body, err := n.call(t, http.DefaultClient, "/ledger/1")
	if err != nil || status != http.StatusOK || body != instance {
		t.Errorf("status %d, %q, %v; want %q", status, body, err, instance)
	}
}

// TestHeartbeatFromAnotherAddressTakesNoPlace guards against a worker that loses its place to an
// instance at an address where no worker of the node is.
func TestHeartbeatFromAnotherAddressTakesNoPlace(t *testing.T) {
	worker := startInstance(t, "running")
	n := startBeside(t, worker)
	for _, draining := range []bool{false, true} {
		other := workers.Heartbeat{Instance: "other", StartedAt: 1, Service: "books", Address: netip.MustParseAddrPort("127.0.0.9:1"), Slots: 6, Sequence: 9, Draining: draining}
		if err := n.registrar.Heartbeat(t.Context(), other); !errorx.IsOfType(err, workers.ErrOtherAddress) {
			t.Errorf("draining %t: the heartbeat was taken: %v", draining, err)
		}
		n.mustAnswer(t, "running")
	}
}

// TestAnotherInstanceAtTheAddressTakesNoPlace guards against a worker that loses its place to an instance
// that another writer has made up, also while the worker answers no probe.
func TestAnotherInstanceAtTheAddressTakesNoPlace(t *testing.T) {
	worker := startInstance(t, "running")
	n := startBeside(t, worker)
	for sequence := range uint64(6) {
		other := workers.Heartbeat{Instance: "other", StartedAt: 1, Service: "books", Address: worker.address, Slots: 6, Sequence: sequence + 1}
		if err := n.registrar.Heartbeat(t.Context(), other); err != nil {
			t.Fatal(err)
		}
		n.mustAnswer(t, "running")
		worker.silent.Store(sequence > 0)
	}
	if ignored := n.node.agent.IgnoredCalls().Heartbeats[workers.IgnoredContended]; ignored != 6 {
		t.Errorf("%d heartbeats had no effect, want 6", ignored)
	}
}

// TestInstanceThatDoesNotTellItsLoadKeepsItsPlace guards against the same for workers that tell no more
// than who they are.
func TestInstanceThatDoesNotTellItsLoadKeepsItsPlace(t *testing.T) {
	worker := startInstance(t, "running")
	worker.terse.Store(true)
	n := startBeside(t, worker)
	other := workers.Heartbeat{Instance: "other", StartedAt: 1, Service: "books", Address: worker.address, Slots: 6, Sequence: 1}
	if err := n.registrar.Heartbeat(t.Context(), other); err != nil {
		t.Fatal(err)
	}
	n.mustAnswer(t, "running")
}

// TestNextInstanceAtTheAddressIsTakenAtOnce guards against a worker that starts again under another identifier
// and is taken for a stranger, or loses its place to late heartbeats of the one before.
func TestNextInstanceAtTheAddressIsTakenAtOnce(t *testing.T) {
	worker := startInstance(t, "former")
	n := startBeside(t, worker)
	n.mustAnswer(t, "former")
	next := "next"
	worker.instance.Store(&next)
	n.heartbeat(t, "next", "books", worker.address.String())
	n.mustAnswer(t, "next")
	late := workers.Heartbeat{Instance: "former", Service: "books", Address: worker.address, Slots: 6, Sequence: 2}
	if err := n.registrar.Heartbeat(t.Context(), late); err != nil {
		t.Fatal(err)
	}
	n.mustAnswer(t, "next")
}

// TestInstancesThatContendBeforeADocumentAreToldApartAfterIt guards against probes that are used up while the
// node does not know yet how to ask.
func TestInstancesThatContendBeforeADocumentAreToldApartAfterIt(t *testing.T) {
	worker, store := startInstance(t, "running"), hostedstore.New()
	n := startNodeWith(t, store, settings.Settings{NodeID: "a1", Service: "books", WorkerAddress: worker.address.String(), MetricsAddress: "127.0.0.1:0"})
	testwait.Eventually(t, "the node takes heartbeats", func() bool { return n.registrar != nil })
	sequence := uint64(0)
	contend := func() {
		sequence++
		for _, instance := range []string{"running", "other"} {
			heartbeat := workers.Heartbeat{Instance: instance, StartedAt: 1, Service: "books", Address: worker.address, Slots: 6, Sequence: sequence}
			if err := n.registrar.Heartbeat(t.Context(), heartbeat); err != nil {
				t.Fatal(err)
			}
		}
	}
	for range 8 {
		contend()
	}
	store.Put(testDocument{Version: 1, Routes: map[string]string{"/ledger/": "books"}}.encode())
	testwait.Eventually(t, "the node is ready", n.isReady)
	for range 4 {
		contend()
		n.mustAnswer(t, "running")
	}
}

// heartbeatOfAnother sends a heartbeat of an instance that another writer has made up.
func (n *runningNode) heartbeatOfAnother(t *testing.T, at *instanceServer, sequence uint64) {
	t.Helper()
	other := workers.Heartbeat{Instance: "other", StartedAt: 1, Service: "books", Address: at.address, Slots: 6, Sequence: sequence}
	if err := n.registrar.Heartbeat(t.Context(), other); err != nil {
		t.Fatal(err)
	}
}

// TestWorkerThatIsUnwellFromItsStartKeepsItsPlace guards against a worker whose health path answers 503 and that
// loses its place to each made-up instance.
func TestWorkerThatIsUnwellFromItsStartKeepsItsPlace(t *testing.T) {
	worker := startInstance(t, "running")
	worker.unwell.Store(true)
	n := startBeside(t, worker)
	for sequence := range uint64(6) {
		n.heartbeatOfAnother(t, worker, sequence+1)
		n.mustAnswer(t, "running")
	}
}

// TestWorkerThatServesKeepsItsPlaceUnprobed guards against a worker whose health path has never answered and that
// loses its place to each made-up instance.
func TestWorkerThatServesKeepsItsPlaceUnprobed(t *testing.T) {
	worker := startInstance(t, "running")
	worker.silent.Store(true)
	n := startBeside(t, worker)
	n.mustAnswer(t, "running")
	for sequence := range uint64(6) {
		n.heartbeatOfAnother(t, worker, sequence+1)
		n.mustAnswer(t, "running")
	}
}

// TestNextInstanceThatIsUnwellIsTakenAtOnce guards against a worker that starts again under another identifier and
// gets no calls while its health path answers 503.
func TestNextInstanceThatIsUnwellIsTakenAtOnce(t *testing.T) {
	worker := startInstance(t, "former")
	n := startBeside(t, worker)
	n.mustAnswer(t, "former")
	next := "next"
	worker.instance.Store(&next)
	worker.unwell.Store(true)
	n.heartbeat(t, "next", "books", worker.address.String())
	n.mustAnswer(t, "next")
}

// TestNextInstanceIsTakenOnceTheFormerIsRefused guards against a place that stays with an instance for which the
// process at its address answers 421.
func TestNextInstanceIsTakenOnceTheFormerIsRefused(t *testing.T) {
	worker := startInstance(t, "former")
	n := startBeside(t, worker)
	n.mustAnswer(t, "former")
	next := "next"
	worker.instance.Store(&next)
	worker.silent.Store(true)
	if status, _, err := n.call(t, http.DefaultClient, "/ledger/1"); err != nil || status != http.StatusServiceUnavailable {
		t.Errorf("status %d, %v", status, err)
	}
	n.heartbeat(t, "next", "books", worker.address.String())
	n.mustAnswer(t, "next")
	for sequence := range uint64(6) {
		n.heartbeatOfAnother(t, worker, sequence+1)
		n.mustAnswer(t, "next")
	}
}
