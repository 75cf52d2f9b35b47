package pipeline

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"

	"github.com/levertide/levertide/internal/intake"
	"github.com/levertide/levertide/pkg/contain"
)

// exchange is one request and its answer.
type exchange struct {
	conn     *conn
	request  *http.Request
	response response
	// fault is the status of a request that is not passed to the handler.
	fault int
	// last is set when no further request follows on the connection.
	last bool
	// turn is closed when the answer before this one is complete; nil for the first.
	turn <-chan struct{}
	// bodyEnded is closed when the next request may be read.
	bodyEnded chan struct{}
	body      *body // nil for a request without one
	// ended is closed when the answer is complete, or never will be.
	ended chan struct{}
	// hold is the memory that the request holds.
	hold *intake.Hold
}

func newExchange(c *conn, r *http.Request) *exchange {
	x := &exchange{
		conn:      c,
		request:   r,
		last:      r.Close || !r.ProtoAtLeast(1, 1),
		bodyEnded: closedChannel,
		ended:     make(chan struct{}),
	}
	x.response = response{exchange: x, header: http.Header{}}
	r.RemoteAddr = c.remote
	if r.ContentLength != 0 {
		x.bodyEnded = make(chan struct{})
		x.body = &body{exchange: x, source: r.Body, continuePending: expectsContinue(r)}
		r.Body = x.body
	}
	return x
}

// newFault returns an exchange that is answered with a status and ends the connection.
func newFault(c *conn, status int) *exchange {
	r := &http.Request{Method: http.MethodGet, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, Body: http.NoBody}
	x := newExchange(c, r)
	x.fault, x.last = status, true
	return x
}

// run handles the request. The connection ends when that panics beyond the handler.
func (x *exchange) run() {
	if !contain.Run(contain.Request, connectionName, x.conn.server.cfg.Panicked, x.handle) {
		x.conn.abort()
	}
}

// handle runs the handler, completes the answer or aborts the connection, and then lets the next
// answer be written.
func (x *exchange) handle() {
	x.conn.account.Renew()
	x.request = x.request.WithContext(intake.NewContext(x.conn.ctx, x.hold))
	defer x.end()
	if x.fault != 0 {
		writeFault(&x.response, x.fault)
		return
	}
	x.conn.server.handler.ServeHTTP(&x.response, x.request)
}

// fullRetryAfter is when callers for whose head there was no memory may return, in seconds: clients
// that keep the node waiting have given up theirs by then.
const fullRetryAfter = "0.250"

// writeFault answers a request that is not passed to the handler.
func writeFault(w http.ResponseWriter, status int) {
	text := http.StatusText(status) + "\n"
	w.Header()["Content-Type"] = []string{"text/plain; charset=utf-8"}
	w.Header()["Content-Length"] = []string{strconv.Itoa(len(text))}
	if status == http.StatusServiceUnavailable {
		w.Header()["Retry-After"] = []string{fullRetryAfter}
	}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}

// end completes the answer, or ends the connection when that is not possible.
func (x *exchange) end() {
	defer x.release()
	// What the handler may panic with is http.ErrAbortHandler: the server contains all else.
	aborted := recover() != nil
	x.body.close()
	if aborted || x.response.finish() != nil {
		x.conn.abort()
	}
}

// release gives back what the request holds.
func (x *exchange) release() {
	x.hold.Close()
	x.conn.account.Renew()
	close(x.ended)
	x.conn.release()
}

// awaitTurn waits until the answers before this one are complete.
func (x *exchange) awaitTurn() error {
	if x.turn != nil {
		select {
		case <-x.turn:
		case <-x.conn.ctx.Done():
		}
	}
	return x.conn.ctx.Err()
}

// body is the body of a request. It signals its end to the connection.
type body struct {
	exchange *exchange

	mu     sync.Mutex
	source io.ReadCloser
	// continuePending is set while the caller waits for 100 Continue before it sends the body.
	continuePending bool
	closed          bool
	// complete is set when the end was read.
	complete bool
}

// errBodyClosed is returned for a body that is read after the handler has ended.
var errBodyClosed = errors.New("read from a request body after the handler has ended")

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0, errBodyClosed
	}
	if b.continuePending {
		b.continuePending = false
		if err := b.exchange.response.sendContinue(); err != nil {
			return 0, err
		}
	}
	n, err := b.read(p)
	switch {
	case err == io.EOF && !b.complete:
		b.complete = true
		close(b.exchange.bodyEnded)
	case callerDisconnected(err):
		b.exchange.conn.cancel()
	}
	return n, err
}

// read reads a part of the body. A caller that is told to end is one that is too slow.
func (b *body) read(p []byte) (int, error) {
	c := b.exchange.conn
	if !c.beginBody() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := b.source.Read(p)
	c.endBody(n)
	return n, err
}

// callerDisconnected reports whether an error of a body means that the caller has
// disconnected, as opposed to being too slow or sending an invalid body.
func callerDisconnected(err error) bool {
	var failed *net.OpError
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &failed) && !failed.Timeout()
}

// Close implements io.Closer. The handler's end closes the body.
func (b *body) Close() error { return nil }

// consumed reports whether nothing of the body is left on the connection.
func (b *body) consumed() bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.complete
}

// close prevents code that still holds the body from reading what follows it.
func (b *body) close() {
	if b == nil {
		return
	}
	if b.mu.TryLock() {
		defer b.mu.Unlock()
	} else {
		// A read is in progress: interrupt it.
		b.exchange.conn.setReadDeadline(expiredDeadline)
		b.mu.Lock()
		defer b.mu.Unlock()
	}
	b.closed = true
	if !b.complete {
		b.exchange.conn.seal()
		close(b.exchange.bodyEnded)
	}
}
