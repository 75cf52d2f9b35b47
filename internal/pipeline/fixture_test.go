package pipeline

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// testTimeout bounds waits for events that are expected much sooner.
const testTimeout = 20 * time.Second

// testServer is a server on a port of its own, whose handler a test can block and release.
type testServer struct {
	server  *Server
	address string

	mu    sync.Mutex
	gates map[string]chan struct{}
	// began receives the path of each request that is passed to the handler, and
	// canceled that of each whose context was canceled.
	began, canceled chan string
}

// startTestServer starts a server. Its handler answers with method, path and body. A
// path that begins with /hold/ is answered once it is released.
func startTestServer(t testing.TB, configure func(*Config)) *testServer {
	t.Helper()
	s := &testServer{gates: map[string]chan struct{}{}, began: make(chan string, 1000), canceled: make(chan string, 1000)}
	cfg := Config{
		Handler: http.HandlerFunc(s.handle), MaxPipelined: 8, MaxHeaderBytes: 16 << 10,
		ReadHeaderTimeout: testTimeout, IdleTimeout: testTimeout,
	}
	if configure != nil {
		configure(&cfg)
	}
	s.server = New(cfg)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.Addr().String()
	go func() { _ = s.server.Serve(l) }()
	t.Cleanup(func() { _ = s.server.Close() })
	return s
}

func (s *testServer) gate(path string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gates[path] == nil {
		s.gates[path] = make(chan struct{})
	}
	return s.gates[path]
}

func (s *testServer) release(path string) { close(s.gate(path)) }

func (s *testServer) handle(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	s.began <- path
	if strings.HasPrefix(path, "/hold/") {
		select {
		case <-s.gate(path):
		case <-r.Context().Done():
			s.canceled <- path
			return
		}
	}
	if strings.HasPrefix(path, "/abort/") {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "short")
		panic(http.ErrAbortHandler)
	}
	if strings.HasPrefix(path, "/close/") {
		w.Header()["Connection"] = []string{"close"}
	}
	if strings.HasPrefix(path, "/unread/") {
		_, _ = io.WriteString(w, "unread "+path)
		return
	}
	content, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusRequestTimeout)
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, path, content)
}

// awaitBegan waits until requests were passed to the handler, in any order.
func (s *testServer) awaitBegan(t *testing.T, paths ...string) {
	t.Helper()
	missing := map[string]bool{}
	for _, path := range paths {
		missing[path] = true
	}
	for len(missing) > 0 {
		delete(missing, receive(t, s.began))
	}
}

func receive(t *testing.T, from <-chan string) string {
	t.Helper()
	select {
	case value := <-from:
		return value
	case <-time.After(testTimeout):
		t.Fatal("nothing received before the timeout")
		return ""
	}
}

// caller is the other end of a connection.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t testing.TB, address string) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return &caller{Conn: conn, reader: bufio.NewReader(conn)}
}

func (c *caller) send(t testing.TB, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

func post(path, content string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", path, len(content), content)
}

// answer is one answer as a caller sees it.
type answer struct {
	status  int
	closing bool
	body    string
}

// next reads the next answer; the error is the one that ended the connection.
func (c *caller) next() (answer, error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{}, err
	}
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, closing: response.Close, body: string(body)}, err
}

func (c *caller) expect(t *testing.T, bodies ...string) {
	t.Helper()
	for _, body := range bodies {
		got, err := c.next()
		if err != nil || got.body != body {
			t.Fatalf("got %+v, %v; want %q", got, err, body)
		}
	}
}

// expectEnd expects the connection to end with nothing more on it.
func (c *caller) expectEnd(t *testing.T) {
	t.Helper()
	if got, err := c.next(); err == nil {
		t.Fatalf("got %+v, want the end", got)
	}
}

func (s *testServer) shutdown(t *testing.T) <-chan error {
	done := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	go func() { done <- s.server.Shutdown(ctx) }()
	return done
}
