package dataplane

import (
	"crypto/tls"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
)

// newToxic starts a proxy in front of an address.
func newToxic(t *testing.T, upstream string) *toxiproxy.Proxy {
	t.Helper()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	proxy := toxiproxy.NewProxy(server, t.Name(), "127.0.0.1:0", upstream)
	if err := proxy.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Stop)
	return proxy
}

func addToxic(t *testing.T, proxy *toxiproxy.Proxy, json string) {
	t.Helper()
	if _, err := proxy.Toxics.AddToxicJson(strings.NewReader(json)); err != nil {
		t.Fatal(err)
	}
}

func TestConnectionResetAfterTheRequestWasWritten(t *testing.T) {
	for _, connection := range []string{"peer", "worker"} {
		t.Run(connection, func(t *testing.T) {
			m := newMesh(t)
			var runs atomic.Int64
			proxy := m.addBehindToxic(t, connection, listen(t, func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(w, "done")
			}))
			m.call("POST", "/", "x").expect(t, http.StatusOK, "")
			addToxic(t, proxy, `{"name":"reset","type":"reset_peer","stream":"downstream","attributes":{"timeout":0}}`)
			before := runs.Load()
			m.call("POST", "/", "vat").expect(t, http.StatusBadGateway, "unknown")
			if got := runs.Load() - before; got > 1 {
				t.Errorf("ran %d times", got)
			}
			if err := proxy.Toxics.RemoveToxic(t.Context(), "reset"); err != nil {
				t.Fatal(err)
			}
			m.call("GET", "/", "").expect(t, http.StatusOK, "")
		})
	}
}

// addBehindToxic starts a worker's node with a proxy on the connection to its worker
// or on the connections from other nodes.
func (m *mesh) addBehindToxic(t *testing.T, connection, worker string) *toxiproxy.Proxy {
	if connection == "worker" {
		proxy := newToxic(t, worker)
		m.addWorker("a", proxy.Listen)
		return proxy
	}
	node := m.start("a", worker)
	proxy := newToxic(t, node.peers.Listener.Addr().String())
	m.join("a", proxy.Listen)
	return proxy
}

func TestAnswerCutByTheNetworkIsAnError(t *testing.T) {
	m := newMesh(t)
	proxy := m.addBehindToxic(t, "peer", listen(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 1<<20))
	}))
	addToxic(t, proxy, `{"name":"cut","type":"limit_data","stream":"downstream","attributes":{"bytes":100000}}`)
	if got := m.call("GET", "/", ""); got.err == nil && got.status == http.StatusOK {
		t.Errorf("the caller accepted %d bytes as a complete answer", len(got.body))
	}
}

func TestWorkerStallsWithinAnAnswer(t *testing.T) {
	quick := func(c *Config) { c.Limits.Stall = 50 * time.Millisecond }
	m := newMesh(t, quick)
	stop := make(chan struct{})
	defer close(stop)
	m.addHandler("a", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		<-stop
	}, quick)
	if got := m.call("GET", "/", ""); got.err == nil {
		t.Errorf("the caller accepted %q as a complete answer", got.body)
	}
}

func TestCallerThatDoesNotReadIsCut(t *testing.T) {
	t.Parallel()
	m := newMesh(t, func(c *Config) { c.Limits.Grace = time.Second; c.Limits.MinimumRate = 1 << 40 })
	m.addHandler("a", func(w http.ResponseWriter, _ *http.Request) {
		part := make([]byte, 1<<20)
		for {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	})
	response, err := m.client().Do(m.request("GET", "/", nil))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	eventually(t, "call ended", func() bool { return m.entry.plane.Status().CallerCalls == 0 })
	if !m.entry.watch.last().Truncated {
		t.Error("the report does not say that the answer was cut")
	}
}

func TestStreamedUploadCarriesNoDeadlineOfItsOwn(t *testing.T) {
	m := newMesh(t)
	m.addHandler("a", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, r.Header.Get("Levertide-Deadline-Ms"))
	})
	upload := func() *http.Request { return m.request("POST", "/", io.MultiReader(strings.NewReader("scan"))) }
	if got := m.do(upload()); got.body != "" || got.status != http.StatusOK {
		t.Errorf("the worker was given a deadline of %q", got.body)
	}
	request := upload()
	request.Header.Set("Levertide-Deadline-Ms", "60000")
	if got := m.do(request); got.body == "" || got.status != http.StatusOK {
		t.Error("the caller's own deadline was lost")
	}
}

func TestEncryptedPeers(t *testing.T) {
	m := newMesh(t, func(c *Config) { c.PeerTLS = &tls.Config{InsecureSkipVerify: true} })
	node := m.start("a", listen(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }))
	encrypted := httptest.NewUnstartedServer(node.plane.PeerHandler())
	encrypted.StartTLS()
	t.Cleanup(encrypted.Close)
	m.join("a", encrypted.Listener.Addr().String())
	for range 2 {
		m.call("POST", "/", "secret").expectBody(t, "secret")
	}
}
