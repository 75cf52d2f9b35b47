package sidecar

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/levertide/levertide/internal/lab/hostedstore"
	"github.com/levertide/levertide/internal/settings"
	"github.com/levertide/levertide/internal/testwait"
)

// TestKeysAreNotExposed sends keys that a tenant holds and one that none does, to a worker
// that answers, fails and breaks off, and looks for them in all that the node says.
func TestKeysAreNotExposed(t *testing.T) {
	const held, unknown = "marked-key-held", "marked-key-unknown"
	seen := &lockedBuffer{}
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Instance", "w1")
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		_, _ = fmt.Fprintln(seen, r.Header)
		switch r.URL.Path {
		case "/ledger/fails":
			w.WriteHeader(http.StatusInternalServerError)
		case "/ledger/breaks":
			panic(http.ErrAbortHandler)
		case "/ledger/refuses":
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	t.Cleanup(worker.Close)
	store := hostedstore.New()
	document := ledgerDocument
	document.Tenants = map[string]string{"acme": held}
	store.Put(document.encode())
	n := startNodeWith(t, store, settings.Settings{
		NodeID: "a1", Service: "ledger", MetricsAddress: "127.0.0.1:0", WorkerAddress: worker.Listener.Addr().String(),
	})
	testwait.Eventually(t, "the node is ready", n.isReady)
	var told strings.Builder
	ask := func(path, value string) int {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+n.node.callerListener.address+path, strings.NewReader("b"))
		if err != nil {
			t.Fatal(err)
		}
		request.Host = "mesh.example"
		request.Header.Set("X-Id", "id")
		request.Header.Set("Authorization", value)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = response.Body.Close() }()
		_, _ = fmt.Fprintln(&told, response.Header)
		_, _ = io.Copy(&told, response.Body)
		return response.StatusCode
	}
	testwait.Eventually(t, "a call is answered", func() bool { return ask("/ledger/1", "Token "+held) == http.StatusOK })
	for _, path := range []string{"/ledger/fails", "/ledger/breaks", "/ledger/refuses", "/none"} {
		ask(path, "Token "+held)
		ask(path, "Token "+unknown)
		ask(path, "Bearer "+unknown)
	}
	testwait.Eventually(t, "the refusals are logged", func() bool { return strings.Contains(n.log.String(), "unauthenticated") })
	// The node tells of a document that cannot be read.
	store.Put([]byte(`{"Version": 2, "Tenants": ["` + unknown + `"]}`))
	testwait.Eventually(t, "the document is rejected", func() bool { return strings.Contains(n.log.String(), "document rejected") })
	metrics, err := http.Get("http://" + n.node.auxiliaryListeners[2].address)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(&told, metrics.Body)
	_ = metrics.Body.Close()
	if !strings.Contains(told.String(), "unauthenticated") || !strings.Contains(n.log.String(), "acme") {
		t.Error("the refusals are counted nowhere, or the tenant is not named")
	}
	for what, text := range map[string]string{"worker": seen.String(), "answers and metrics": told.String(), "log": n.log.String()} {
		if strings.Contains(text, "marked-key") {
			t.Errorf("%s: a key is shown: %s", what, text)
		}
	}
}
