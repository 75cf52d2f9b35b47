package sidecar

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/internal/lab/hostedstore"
	"github.com/levertide/levertide/internal/testwait"
	"github.com/levertide/levertide/pkg/workers"
)

// TestLateHeartbeatOfAnotherServiceChangesNothing guards against calls that name another service
// than the one of their machine: a heartbeat of a worker that had the address before, of another
// service, arrives late. The running worker must go on to be given its requests.
func TestLateHeartbeatOfAnotherServiceChangesNothing(t *testing.T) {
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		_, _ = io.WriteString(w, r.Header.Get("X-Expect")+" for "+r.Header.Get("X-Caller"))
	}))
	t.Cleanup(worker.Close)
	address := worker.Listener.Addr().String()
	store := hostedstore.New()
	store.Put(testDocument{Version: 1, Routes: map[string]string{"/receipts/": "intake", "/ledger/": "books"}}.encode())
	n := startNode(t, store, "a1", "intake")
	testwait.Eventually(t, "the node is ready", n.isReady)
	n.heartbeat(t, "running", "intake", address)
	for _, late := range []workers.Heartbeat{
		{Instance: "former", Service: "books", Address: netip.MustParseAddrPort(address), Slots: 6, Sequence: 40},
		{Instance: "former", Service: "books", Address: netip.MustParseAddrPort(address), Slots: 6, Sequence: 41, Draining: true},
	} {
		if err := n.registrar.Heartbeat(t.Context(), late); !errorx.IsOfType(err, workers.ErrInvalid) {
			t.Errorf("the heartbeat was taken: %v", err)
		}
		status, body, err := n.call(t, http.DefaultClient, "/receipts/1")
		if err != nil || status != http.StatusOK || body != "running for intake" {
			t.Errorf("status %d, %q, %v", status, body, err)
		}
	}
}

// TestDrainedWorkerOfAnotherServiceIsNotTheCaller guards against the same after a restart of the
// node, which learns of a worker that has drained before another service came to the address.
func TestDrainedWorkerOfAnotherServiceIsNotTheCaller(t *testing.T) {
	callers := make(chan string, 1)
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		callers <- r.Header.Get("X-Caller")
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
	}))
	t.Cleanup(worker.Close)
	store := hostedstore.New()
	store.Put(testDocument{Version: 1, Routes: map[string]string{"/ledger/": "books"}}.encode())
	beside, n := startNode(t, store, "b1", "books"), startNode(t, store, "a1", "intake")
	testwait.Eventually(t, "both are ready", func() bool { return beside.isReady() && n.isReady() })
	beside.heartbeat(t, "w1", "books", worker.Listener.Addr().String())
	n.node.workers.Learn([]workers.Worker{{Instance: "former", Service: "books", Address: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 6, State: workers.StateDraining}}, time.Now())
	testwait.Eventually(t, "a call is served", func() bool {
		status, _, err := n.call(t, http.DefaultClient, "/ledger/1")
		return err == nil && status == http.StatusOK
	})
	if caller := <-callers; caller != "intake" {
		t.Errorf("the caller is %q", caller)
	}
}
