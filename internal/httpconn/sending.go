package httpconn

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
)

// EndsWithConnection reports whether the end of an answer's body is that of its connection: in HTTP/1, where it
// has neither a length nor chunks.
func EndsWithConnection(response *http.Response) bool {
	return response.ProtoMajor == 1 && response.ContentLength < 0 && !slices.Contains(response.TransferEncoding, "chunked") &&
		response.Body != http.NoBody && response.Request.Method != http.MethodHead
}

// Unsent is the body of a request, as far as it is left to be read for sending.
type Unsent interface {
	// Len returns how many bytes are left, zero once the end of the body was read. It is called by the
	// goroutine that reads the body.
	Len() int
}

// Sending follows how one request is written to a Conn. An answer that ends with its connection is
// whole only if the request behind it was sent without an error: the system gives the error of a reset
// connection once, to whichever of a write and a read asks first, and shows the other an ordinary end.
type Sending struct {
	// Trace has the hooks that follow the request. They are called by the goroutine that writes it.
	Trace httptrace.ClientTrace

	body    Unsent // nil for a request without one
	chunked bool
	conn    *Conn // nil until the request got one
	// closing is set when the next write carries the end of the request.
	closing atomic.Bool
}

// NewSending returns the Sending of one attempt to send a request whose body, if it has one, is read by
// the transport from the given one.
func NewSending(r *http.Request, body Unsent) *Sending {
	s := &Sending{body: body, chunked: body != nil && r.ContentLength <= 0}
	if body == nil {
		s.Trace.WroteHeaders = s.wroteHead
	} else {
		s.Trace.WroteRequest = s.wroteRequest
	}
	return s
}

// Begin is called when the request gets its connection.
func (s *Sending) Begin(conn *Conn) {
	s.conn = conn
	conn.sent.begin(s)
}

// Answered is called with the head of the answer, before its body is read.
func (s *Sending) Answered(response *http.Response) {
	if s.conn != nil && EndsWithConnection(response) {
		s.conn.sent.untilEnd.Store(true)
	}
}

// Wait returns once the request was sent to its last byte, with the error that prevented it. The close of
// the connection, with which the context of the request ends, ends the wait.
func (s *Sending) Wait() error {
	if s.conn == nil {
		return nil
	}
	return s.conn.sent.wait()
}

// wroteHead is called when the transport has put together the head of a request without a body. It has
// yet to write the end of it.
func (s *Sending) wroteHead() { s.closing.Store(true) }

// wroteRequest is called when the transport has put together a request with a body. It has yet to write
// the end of a chunked one; of one with a length it may have written all.
func (s *Sending) wroteRequest(info httptrace.WroteRequestInfo) {
	switch {
	case s.conn == nil:
	case info.Err != nil:
		s.conn.sent.end(info.Err)
	case s.body.Len() > 0:
		// The other side has answered without asking for the body.
		s.conn.sent.end(nil)
	case s.chunked:
		s.closing.Store(true)
	}
}

// last reports whether the write that begins carries the end of the request.
func (s *Sending) last() bool {
	return s.closing.Load() || s.body != nil && !s.chunked && s.body.Len() == 0
}

// sent is whether the current request of a Conn was sent.
type sent struct {
	// current is the request while it is being sent; nil when none is, and for one that is not followed.
	current atomic.Pointer[Sending]
	// untilEnd is set when the end of the connection is that of an answer.
	untilEnd atomic.Bool
	// closed is set when this side has closed the connection.
	closed atomic.Bool

	mu    sync.Mutex
	ended bool
	err   error
	// changed is closed when ended is set. It is nil while nobody waits.
	changed chan struct{}
}

func (s *sent) begin(request *Sending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.untilEnd.Store(false)
	s.ended, s.err, s.changed = false, nil, nil
	s.current.Store(request)
	if s.closed.Load() {
		s.ended, s.err = true, net.ErrClosed
	}
}

// end records that the request was sent, or why it was not.
func (s *sent) end(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current.Store(nil) // an idle connection must not keep a body in memory
	if s.ended {
		return
	}
	s.ended, s.err = true, err
	if s.changed != nil {
		close(s.changed)
	}
}

// close ends the sending of a connection that this side closes.
func (s *sent) close() {
	s.closed.Store(true)
	s.end(net.ErrClosed)
}

// wait returns once the request was sent, with the error that prevented it.
func (s *sent) wait() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		changed := make(chan struct{})
		s.changed = changed
		s.mu.Unlock()
		<-changed
		s.mu.Lock()
	}
	return s.err
}

// write writes a part of the current request.
func (s *sent) write(conn net.Conn, p []byte) (int, error) {
	request := s.current.Load()
	if request == nil {
		return conn.Write(p)
	}
	last := request.last()
	n, err := conn.Write(p)
	if last || err != nil {
		s.end(err)
	}
	return n, err
}

// Read implements net.Conn. It follows the lines of the heads that are read. At the end of an answer that
// ends with the connection it waits until the request was sent and taken, and returns an ErrCut where it
// was not.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.lines.follow(Use(c.state.Load()/connStates), p[:max(n, 0)])
	if err != io.EOF || !c.sent.untilEnd.Load() {
		return n, err
	}
	if n > 0 {
		return n, nil // the next read comes to the end again
	}
	if _, encrypted := c.Conn.(*tls.Conn); encrypted {
		// crypto/tls has one error for an end that the other side has told and for one that it has not.
		return 0, ErrCut.New("the end of an encrypted connection does not tell the end of an answer")
	}
	if err := c.sent.wait(); err != nil {
		return 0, ErrCut.Wrap(err, "the request was not sent whole")
	}
	if err := c.awaitTaken(); err != nil {
		return 0, ErrCut.Wrap(err, "the request was not taken whole")
	}
	return 0, io.EOF
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.sent.close()
	return c.Conn.Close()
}
