package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/levertide/levertide/internal/telemetry"
)

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

func TestStoreServersFailOver(t *testing.T) {
	stopped, running := listen(t), listen(t)
	_ = stopped.Close()
	servers := &storeServers{
		addresses: []string{stopped.Addr().String(), running.Addr().String()},
		dial:      dialer(netip.Addr{}),
	}
	for range 2 {
		connection, err := servers.connect(t.Context(), "tcp", "ignored:1")
		if err != nil {
			t.Fatal(err)
		}
		if connection.RemoteAddr().String() != running.Addr().String() {
			t.Errorf("connected to %s", connection.RemoteAddr())
		}
		_ = connection.Close()
	}
	if servers.preferred.Load() != 1 {
		t.Error("the server that answered is not preferred")
	}
	_ = running.Close()
	if _, err := servers.connect(t.Context(), "tcp", "ignored:1"); err == nil {
		t.Error("connected although no server listens")
	}
}

func TestDialerUsesSource(t *testing.T) {
	target := listen(t)
	connection, err := dialer(netip.MustParseAddr("127.0.0.9"))(t.Context(), "tcp", target.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	if local := connection.LocalAddr().(*net.TCPAddr).IP.String(); local != "127.0.0.9" {
		t.Errorf("dialled from %s", local)
	}
}

func TestServerRunsAgain(t *testing.T) {
	opened, err := newServer("test", "127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	opened.newHTTPServer = func() *http.Server {
		return &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(writer, "answer")
		})}
	}
	if _, err := newServer("second", opened.address, nil); err == nil {
		t.Error("an address was opened twice")
	}
	for range 2 {
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- opened.Serve(ctx) }()
		expectAnswer(t, opened.address)
		cancel()
		<-ended
	}
}

// expectAnswer sends requests until the listener, which may not be open yet, accepts
// a connection, and checks the answer.
func expectAnswer(t *testing.T, address string) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for t.Context().Err() == nil {
		response, err := client.Get("http://" + address)
		if err != nil {
			continue
		}
		defer response.Body.Close()
		if body, _ := io.ReadAll(response.Body); string(body) != "answer" {
			t.Errorf("answer %q", body)
		}
		return
	}
}

func TestWorkerProbeReportsRestart(t *testing.T) {
	healthy, starts, answers := true, 0, 0
	worker := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		if !healthy {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer worker.Close()
	log := telemetry.NewLog(io.Discard, "n", telemetry.LevelInfo)
	probe := newWorkerProbe(worker.Listener.Addr().String(), func(http.Header, time.Time) { answers++ }, func() { starts++ }, log)
	for _, healthy = range []bool{true, false, false, true, true} {
		probe.update(probe.probe(t.Context()))
	}
	if starts != 1 {
		t.Errorf("%d restarts were reported, want 1", starts)
	}
	if answers != 5 {
		t.Errorf("%d answers were reported, want those of 5 probes", answers)
	}
}
