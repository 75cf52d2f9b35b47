package httpconn

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
)

// clientOf returns a client whose answers must be whole, of a server on the given listener.
func clientOf(t *testing.T, l net.Listener) *http.Client {
	t.Helper()
	dial := func(ctx context.Context, network, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, l.Addr().String())
	}
	transport := &http.Transport{DialContext: Track(dial, time.Second)}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Timeout: 10 * time.Second, Transport: CheckAnswers(transport, 1)}
}

// bodiesOf are the ways in which a client gives a body of a number of bytes.
var bodiesOf = map[string]func(n int) io.Reader{
	"reader": func(n int) io.Reader { return bytes.NewReader(make([]byte, n)) },
	"text":   func(n int) io.Reader { return strings.NewReader(strings.Repeat("t", n)) },
	"stream": func(n int) io.Reader { return io.LimitReader(bytes.NewReader(make([]byte, n)), int64(n)) },
	"none":   func(int) io.Reader { return nil },
}

// TestAnswerOfAPlainClientIsWholeOnceItsRequestIsTaken guards against answers that a client waits for in
// vain, for bodies of all kinds and sizes.
func TestAnswerOfAPlainClientIsWholeOnceItsRequestIsTaken(t *testing.T) {
	listener := listenOnLoopback(t)
	client := clientOf(t, listener)
	for name, body := range bodiesOf {
		for _, method := range []string{http.MethodGet, http.MethodPut} {
			for _, size := range []int{0, 1, 3800, 3900, 4000, 4095, 4096, 4097, maximumMemoryBody, maximumMemoryBody + 1, 1 << 20} {
				go answerWhenRead(listener)
				r, err := http.NewRequestWithContext(t.Context(), method, "http://store/", body(size))
				if err != nil {
					t.Fatal(err)
				}
				response, err := client.Do(r)
				if err != nil {
					t.Fatalf("%s of %q with %d bytes: %v", method, name, size, err)
				}
				got, err := io.ReadAll(response.Body)
				_ = response.Body.Close()
				if err != nil || string(got) != "whole" {
					t.Fatalf("%s of %q with %d bytes: %q, %v", method, name, size, got, err)
				}
			}
		}
	}
}

// TestAnswerOfAPlainClientIsNotWholeWhenItsRequestIsCut guards against the part of an answer that a client
// of the store or of another node takes for whole.
func TestAnswerOfAPlainClientIsNotWholeWhenItsRequestIsCut(t *testing.T) {
	const plays = 60
	listener := listenOnLoopback(t)
	client := clientOf(t, listener)
	cut := 0
	for i := range plays {
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, openAnswer)
			if i%2 == 0 {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
		}()
		response, err := client.Post("http://store/", "", bytes.NewReader(make([]byte, 8<<20)))
		if err != nil {
			continue
		}
		got, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil {
			t.Errorf("play %d: %q counts as whole", i, got)
		}
		if errorx.IsOfType(err, ErrCut) {
			cut++
		}
	}
	t.Logf("%d of %d answers ended within the request", cut, plays)
}

// staleConn is a connection that takes nothing more once an answer was read from it, as one that the other
// side has closed meanwhile.
type staleConn struct {
	net.Conn
	answered atomic.Bool
}

func (c *staleConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.answered.Store(c.answered.Load() || n > 0)
	return n, err
}

func (c *staleConn) Write(p []byte) (int, error) {
	if c.answered.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// TestRequestIsSentAgainOnAnotherConnection guards against a request that is lost with a connection that
// the other side closed while it was unused.
func TestRequestIsSentAgainOnAnotherConnection(t *testing.T) {
	const requests = 20
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, n)
	}))
	defer server.Close()
	var dials atomic.Int64
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		dials.Add(1)
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &staleConn{Conn: conn}, err
	}
	transport := &http.Transport{DialContext: Track(dial, time.Second)}
	defer transport.CloseIdleConnections()
	client := &http.Client{Timeout: 10 * time.Second, Transport: CheckAnswers(transport, 1)}
	for i := range requests {
		size := 1 + i*190
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPut, server.URL, bytes.NewReader(make([]byte, size)))
		if err != nil {
			t.Fatal(err)
		}
		response, err := client.Do(r)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		got, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || string(got) != fmt.Sprint(size) {
			t.Errorf("request %d: %q, %v", i, got, err)
		}
	}
	if opened := dials.Load(); opened != requests {
		t.Errorf("%d connections for %d requests", opened, requests)
	}
}
