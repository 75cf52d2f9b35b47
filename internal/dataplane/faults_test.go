package dataplane

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/outcome"
)

// readRequest reads one request with its body from a connection.
func readRequest(lines *bufio.Reader) (*http.Request, error) {
	request, err := http.ReadRequest(lines)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, request.Body)
	return request, err
}

// breaking reads each request and answers it, except when breaks returns true:
// then it closes the connection instead. The arguments of breaks are the number of
// the request on its connection and among all that the worker got, both from one.
func breaking(answer string, breaks func(onConnection int, inAll int64) bool) func(*rawWorker, net.Conn) {
	return func(worker *rawWorker, conn net.Conn) {
		lines := bufio.NewReader(conn)
		for onConnection := 1; ; onConnection++ {
			if _, err := readRequest(lines); err != nil {
				return
			}
			if breaks(onConnection, worker.requests.Add(1)) {
				return
			}
			_, _ = io.WriteString(conn, answer)
		}
	}
}

// onUsedConnection breaks at the second request of each connection: the case in
// which http.Transport tends to resend a request.
func onUsedConnection(onConnection int, _ int64) bool { return onConnection > 1 }

// answerOnce answers the first request of a connection and closes it.
func answerOnce(answer string) func(*rawWorker, net.Conn) {
	return func(_ *rawWorker, conn net.Conn) {
		_, _ = readRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, answer)
	}
}

// refuse answers like a worker that did not run the request.
func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Levertide-Outcome", "not-run")
	w.WriteHeader(http.StatusServiceUnavailable)
}

const answerOK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestUnrepeatableRequestsAreNeverSentTwice(t *testing.T) {
	cases := []struct {
		name, method, path, body, key string
	}{
		{"post", "POST", "/", "vat", ""},
		{"post with key", "POST", "/", "vat", "k"},
		{"empty post with key", "POST", "/never", "", "k"},
		{"put never", "PUT", "/never", "vat", ""},
		{"delete with key", "DELETE", "/", "", "k"},
		{"get never", "GET", "/never", "", ""},
		{"head never", "HEAD", "/never", "", ""},
		{"options never", "OPTIONS", "/never", "", "k"},
		{"long post with key", "POST", "/", strings.Repeat("x", 1<<17), "k"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := newMesh(t)
			worker := m.addRaw(breaking("HTTP/1.1 204 No Content\r\n\r\n", onUsedConnection), "a", "b")
			m.call("GET", "/", "").expect(t, http.StatusNoContent, "")
			m.call("GET", "/", "").expect(t, http.StatusNoContent, "") // may need a second attempt
			before := worker.requests.Load()
			broken := 0
			const calls = 4
			for range calls {
				var header []string
				if c.key != "" {
					header = []string{"Idempotency-Key", c.key}
				}
				if got := m.call(c.method, c.path, c.body, header...); got.status != http.StatusNoContent {
					got.expect(t, http.StatusBadGateway, "unknown")
					broken++
				}
			}
			if got := worker.requests.Load() - before; got != calls {
				t.Errorf("%d calls ran %d times", calls, got)
			}
			if broken == 0 {
				t.Error("no connection was broken: the test proves nothing")
			}
		})
	}
}

func TestPeerRequestIsNotResent(t *testing.T) {
	m := newMesh(t)
	peer := newRawWorker(t, breaking("HTTP/1.1 200 OK\r\nLevertide-Load: 0\r\nContent-Length: 2\r\n\r\nok", onUsedConnection))
	m.join("a", peer.address())
	m.call("POST", "/", "x").expect(t, http.StatusOK, "")
	m.call("GET", "/never", "", "Idempotency-Key", "k").expect(t, http.StatusBadGateway, "unknown")
	if got := peer.requests.Load(); got != 2 {
		t.Errorf("the peer got %d requests, want 2", got)
	}
}

func TestRepeatableRequestIsSentAgain(t *testing.T) {
	m := newMesh(t)
	var broken atomic.Bool
	worker := m.addRaw(breaking(answerOK, func(onConnection int, _ int64) bool {
		return onConnection > 1 && broken.CompareAndSwap(false, true)
	}), "a", "b")
	for range 8 {
		m.call("GET", "/", "").expect(t, http.StatusOK, "")
		m.call("POST", "/always", "x").expect(t, http.StatusOK, "")
	}
	if got := worker.requests.Load(); got != 17 {
		t.Errorf("16 calls with one break took %d requests", got)
	}
}

func TestWorkerThatRefusesIsReplaced(t *testing.T) {
	m := newMesh(t)
	var refused, served atomic.Int64
	m.addHandler("a", func(w http.ResponseWriter, r *http.Request) {
		refused.Add(1)
		refuse(w, r)
	})
	m.addHandler("b", func(_ http.ResponseWriter, _ *http.Request) { served.Add(1) })
	for range 12 {
		m.call("POST", "/never", "vat").expect(t, http.StatusOK, "")
	}
	if served.Load() != 12 || refused.Load() == 0 {
		t.Errorf("served %d, refused %d", served.Load(), refused.Load())
	}
}

func TestOnlyMarked503IsARefusal(t *testing.T) {
	m := newMesh(t)
	var runs atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		if r.URL.Path == "/marked" {
			w.Header().Set("Levertide-Outcome", "not-run")
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	m.addHandler("a", handler)
	m.addHandler("b", handler)
	m.call("GET", "/", "").expect(t, http.StatusServiceUnavailable, "")
	m.call("GET", "/marked", "").expect(t, http.StatusInternalServerError, "")
	if runs.Load() != 2 {
		t.Errorf("2 calls ran %d times", runs.Load())
	}
}

func TestAllWorkersRefuse(t *testing.T) {
	m := newMesh(t)
	for _, id := range []string{"a", "b"} {
		m.addHandler(id, refuse)
	}
	got := m.call("POST", "/", "x")
	got.expect(t, http.StatusServiceUnavailable, "not-run", outcome.RefusedByOwnWorker)
	if got.header.Get("Retry-After") == "" {
		t.Errorf("header %v", got.header)
	}
}

func TestNodeThatIsNotReadyIsSkipped(t *testing.T) {
	m := newMesh(t)
	m.join("a", listen(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(outcome.SetHeaders(w.Header(), outcome.New(outcome.NotReady)))
	}))
	m.call("POST", "/never", "x").expect(t, http.StatusServiceUnavailable, "not-run")
	m.addHandler("b", func(http.ResponseWriter, *http.Request) {})
	for range 8 {
		m.call("POST", "/never", "x").expect(t, http.StatusOK, "")
	}
}

func TestAnswerOfAnUnknownPeerIsUnknown(t *testing.T) {
	m := newMesh(t)
	m.join("a", listen(t, func(http.ResponseWriter, *http.Request) {}))
	m.call("POST", "/never", "x").expect(t, http.StatusBadGateway, "unknown")
}

// deadAddress is one that nobody listens at. The port of a closed listener is no
// such address: another process may be given it at any time.
const deadAddress = "127.0.0.1:1"

func TestDeadWorkerIsNotRun(t *testing.T) {
	m := newMesh(t)
	m.addWorker("a", deadAddress)
	m.call("POST", "/never", "x").expect(t, http.StatusServiceUnavailable, "not-run")
	m.join("a", deadAddress) // the node is gone, too
	m.call("POST", "/never", "x").expect(t, http.StatusServiceUnavailable, "not-run")
}

func TestNoWorkerIsNotRun(t *testing.T) {
	m := newMesh(t)
	m.call("POST", "/", "x").expect(t, http.StatusServiceUnavailable, "not-run", outcome.NoWorker)
}

func TestWorkerThatDiesAfterReadingIsUnknown(t *testing.T) {
	m := newMesh(t)
	worker := m.addRaw(breaking("", func(int, int64) bool { return true }), "a", "b")
	m.call("POST", "/", "x").expect(t, http.StatusBadGateway, "unknown")
	if worker.requests.Load() != 1 {
		t.Errorf("ran %d times", worker.requests.Load())
	}
	m.call("GET", "/", "").expect(t, http.StatusBadGateway, "unknown")
	if worker.requests.Load() != 3 {
		t.Errorf("a repeatable request made %d attempts, want 2", worker.requests.Load()-1)
	}
}

func TestAnswerCutShortIsAnError(t *testing.T) {
	heads := map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			m := newMesh(t)
			m.addRaw(answerOnce(head), "a")
			if got := m.call("GET", "/", ""); got.err == nil {
				t.Errorf("the caller accepted %q as a complete answer", got.body)
			}
			eventually(t, "report", func() bool {
				m.entry.watch.mutex.Lock()
				defer m.entry.watch.mutex.Unlock()
				return len(m.entry.watch.reports) == 1
			})
			if !m.entry.watch.last().Truncated {
				t.Error("the report does not mark the answer as truncated")
			}
		})
	}
}

func TestAnswerWithoutAnEndIsRefused(t *testing.T) {
	m := newMesh(t)
	m.addRaw(answerOnce("HTTP/1.1 200 OK\r\n\r\npart"), "a")
	m.call("POST", "/", "x").expect(t, http.StatusBadGateway, "unknown")
}

func TestHangingWorkerIsUnknownAtTheDeadline(t *testing.T) {
	t.Parallel()
	m := newMesh(t)
	canceled := make(chan struct{})
	m.addHandler("a", func(_ http.ResponseWriter, r *http.Request) {
		// The server watches the connection only once the body was read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		close(canceled)
	})
	m.call("POST", "/", "x", "Levertide-Deadline-Ms", "1500").expect(t, http.StatusGatewayTimeout, "unknown", outcome.Timeout)
	<-canceled
}

func TestDeadlineAndAllowanceReachTheWorker(t *testing.T) {
	m := newMesh(t)
	seen := make(chan http.Header, 1)
	m.addHandler("a", func(_ http.ResponseWriter, r *http.Request) { seen <- r.Header })
	m.call("GET", "/", "", "Levertide-Deadline-Ms", "5000", "Levertide-Attempts-Left", "1").expect(t, http.StatusOK, "")
	header := <-seen
	var left int
	if _, err := fmt.Sscan(header.Get("Levertide-Deadline-Ms"), &left); err != nil || left > 5000 || left < 1 {
		t.Errorf("deadline %q", header.Get("Levertide-Deadline-Ms"))
	}
	if header.Get("Levertide-Attempts-Left") != "0" {
		t.Errorf("allowance %q, want 0: of 1 the node retains 1", header.Get("Levertide-Attempts-Left"))
	}
	m.call("GET", "/", "").expect(t, http.StatusOK, "")
	header = <-seen
	if _, err := fmt.Sscan(header.Get("Levertide-Deadline-Ms"), &left); err != nil || left > 10_000 {
		t.Errorf("the route's timeout is not carried: %q", header.Get("Levertide-Deadline-Ms"))
	}
	m.call("GET", "/", "", "Levertide-Deadline-Ms", "5000", "Levertide-Attempts-Left", "10").expect(t, http.StatusOK, "")
	if header = <-seen; header.Get("Levertide-Attempts-Left") != "1" {
		t.Errorf("a caller raised its allowance to %q", header.Get("Levertide-Attempts-Left"))
	}
}

func TestCallerThatLeavesCancelsTheWorker(t *testing.T) {
	m := newMesh(t)
	running := make(chan struct{})
	canceled := make(chan struct{})
	m.addHandler("a", func(_ http.ResponseWriter, r *http.Request) {
		close(running)
		<-r.Context().Done()
		close(canceled)
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-running
		cancel()
	}()
	if _, err := m.client().Do(m.request("GET", "/", nil).WithContext(ctx)); err == nil {
		t.Fatal("the call was answered")
	}
	<-canceled
	eventually(t, "no call in flight", func() bool { return m.entry.plane.Status().CallerCalls == 0 })
}

func TestVersionChangesInTheMiddleOfCalls(t *testing.T) {
	m := newMesh(t)
	running, resume := make(chan struct{}), make(chan struct{})
	m.addHandler("a", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(running)
			<-resume
		}
		_, _ = io.WriteString(w, "whole")
	})
	slow := make(chan reply, 1)
	go func() { slow <- m.call("GET", "/slow", "") }()
	<-running
	m.publish(2, map[string]*model.Route{"other": testRoute("/other", model.RepeatNever)})
	m.call("GET", "/slow", "").expect(t, http.StatusNotFound, "not-run")
	m.call("GET", "/other", "").expect(t, http.StatusOK, "")
	close(resume)
	(<-slow).expectBody(t, "whole")
}

func TestNodeWithAnotherServiceReportsMisdirected(t *testing.T) {
	m := newMesh(t)
	var runs atomic.Int64
	other := m.addHandler("a", func(http.ResponseWriter, *http.Request) { runs.Add(1) },
		func(c *Config) { c.Service = "archive" })
	got := m.call("POST", "/", "x")
	got.expect(t, http.StatusServiceUnavailable, "not-run")
	if runs.Load() != 0 || other.watch == nil {
		t.Error("the request ran")
	}
}

func TestSlowUploadIsCut(t *testing.T) {
	m := newMesh(t, func(c *Config) { c.Limits.Grace = 30 * time.Millisecond })
	m.addHandler("a", func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	for name, length := range map[string]int64{"short": 100, "long": 1 << 20} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", m.entry.callers.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\nx", testHost, length)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
			wantStatus := map[string]int{"short": http.StatusRequestTimeout, "long": http.StatusBadGateway}[name]
			if response.StatusCode != wantStatus || !response.Close {
				t.Errorf("status %d close %t: %+v", response.StatusCode, response.Close, m.entry.watch.last())
			}
			want := map[string]string{"short": "not-run", "long": "unknown"}[name]
			if got := response.Header.Get("Levertide-Outcome"); got != want {
				t.Errorf("outcome %q, want %q", got, want)
			}
		})
	}
}
