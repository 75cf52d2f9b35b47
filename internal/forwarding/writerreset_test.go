package forwarding

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/outcome"
)

// deafConn is a connection that was reset within an answer: its write gets the error, and its read the
// part of the answer and an ordinary end.
type deafConn struct {
	net.Conn
	// begun is closed with the first write.
	begun chan struct{}
	rest  *bytes.Reader
	// ended is closed when the end was read.
	ended chan struct{}
	// writes is how many writes succeed, in whose order with the end the others fail.
	writes int
}

// Write implements net.Conn.
func (c *deafConn) Write(p []byte) (int, error) {
	c.writes--
	if c.writes >= 0 {
		closeOnce(c.begun)
		return len(p), nil
	}
	<-c.ended
	const late = 20 * time.Millisecond
	time.Sleep(late)
	return 0, &net.OpError{Op: "write", Net: "tcp", Err: syscall.ECONNRESET}
}

// Read implements net.Conn.
func (c *deafConn) Read(p []byte) (int, error) {
	<-c.begun
	n, err := c.rest.Read(p)
	if err != nil {
		closeOnce(c.ended)
	}
	return n, err
}

// Close implements net.Conn.
func (c *deafConn) Close() error { return nil }

// closeOnce closes a channel that one goroutine closes.
func closeOnce(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}

// TestResetThatOnlyTheWriterSeesIsNoEndOfAnAnswer guards against the part of an answer that is taken for
// whole because the error of its connection went to the sending of the request.
func TestResetThatOnlyTheWriterSeesIsNoEndOfAnAnswer(t *testing.T) {
	bodies := map[string]*requestBody{
		"held":    {held: make([]byte, 100_000), length: 100_000},
		"length":  {held: make([]byte, 1000), rest: bytes.NewReader(make([]byte, 1<<20)), length: 1<<20 + 1000},
		"unknown": {held: make([]byte, 1000), rest: bytes.NewReader(make([]byte, 1<<20)), length: -1},
	}
	for name, body := range bodies {
		t.Run(name, func(t *testing.T) {
			conn := &deafConn{begun: make(chan struct{}), ended: make(chan struct{}), rest: bytes.NewReader([]byte("HTTP/1.1 200 OK\r\n\r\npart")), writes: 2}
			dial := func(context.Context, string, string) (net.Conn, error) { return conn, nil }
			r, err := http.NewRequest(http.MethodPost, "http://worker/", nil)
			if err != nil {
				t.Fatal(err)
			}
			e := httpExchange{transport: newTransport(dial, time.Second, 1), request: r, body: body}
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			response, err := e.do(ctx)
			if err != nil {
				t.Fatal(err)
			}
			a, err := readAnswer(ctx, response)
			if err == nil && a.rest != nil {
				_, err = io.Copy(io.Discard, a.rest)
			}
			if reason := outcome.ReasonOf(err); reason != outcome.ConnectionLost {
				t.Errorf("%v: %+v, %v", reason, a, err)
			}
		})
	}
}
