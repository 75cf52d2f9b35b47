package pipeline

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/internal/intake"
)

const (
	// bufferSize is the size of the read buffer and of the write buffer of one
	// connection. It bounds what is read ahead of the requests in flight.
	bufferSize = 4 << 10
	// pipelinedBytes is what a request costs that is handled beside another one of its connection.
	pipelinedBytes = 32 << 10
	// writeBytes is how much of an answer is written at a time.
	writeBytes = 16 << 10
)

// conn is one connection of a caller. One goroutine reads the requests; each
// request has a goroutine that handles it and writes the answer when its turn
// has come.
type conn struct {
	server *Server
	rwc    net.Conn
	remote string
	limit  *limitedReader
	// lines are those of the head that is being read.
	lines  httpconn.HeadLines
	br     *bufio.Reader
	bw     *bufio.Writer // belongs to the exchange whose turn it is
	ctx    context.Context
	cancel context.CancelFunc
	// slots bounds the requests in flight.
	slots chan struct{}
	// account counts what the caller holds. idle is set while it counts as awaited between requests.
	account *intake.Account
	idle    bool

	mu sync.Mutex
	// readingBody is set while a body is read, evicted once the caller was told to end for that.
	readingBody, evicted bool
	// newest is the last request that was passed to the handler.
	newest   *exchange
	inFlight int
	// awaitingRequest is set while the reader waits for a request to begin.
	awaitingRequest bool
	// hasDeadline is set while reads have a deadline.
	hasDeadline bool
	// stopping makes the next answer end the connection; sealed is set when no
	// further request is accepted.
	stopping, sealed bool
}

func newConn(s *Server, rwc net.Conn) *conn {
	limit := &limitedReader{source: rwc}
	c := &conn{
		server: s,
		rwc:    rwc,
		remote: rwc.RemoteAddr().String(),
		limit:  limit,
		br:     bufio.NewReaderSize(limit, bufferSize),
		slots:  make(chan struct{}, s.cfg.MaxPipelined),
	}
	c.bw = bufio.NewWriterSize(answerWriter{c}, bufferSize)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// answerWriter writes to the caller, which has to read each part in time.
type answerWriter struct{ conn *conn }

// Write implements io.Writer.
func (w answerWriter) Write(p []byte) (int, error) {
	c, written := w.conn, 0
	for {
		part := p[written:min(written+writeBytes, len(p))]
		_ = c.rwc.SetWriteDeadline(time.Now().Add(c.server.cfg.limits().IdleTimeout))
		c.account.Await()
		n, err := c.rwc.Write(part)
		c.account.Progress(n)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// serve reads requests until the connection is to end, waits until those in
// flight are answered, and closes it.
func (c *conn) serve() {
	defer func() { _ = c.rwc.Close() }()
	defer c.cancel()
	err := c.readRequests()
	if err == nil {
		err = c.watch(c.lastEnded())
	}
	if err != nil {
		c.cancel()
	}
	<-c.lastEnded()
	if err == nil && c.ctx.Err() == nil {
		c.linger()
	}
}

// readRequests passes requests to the handler. It returns nil when no further one
// is accepted, and an error when the connection is broken or idle.
func (c *conn) readRequests() error {
	for {
		if err := c.awaitRequest(); err != nil {
			return ignoreStop(err)
		}
		x, err := c.readExchange()
		if err != nil {
			return err
		}
		admitted, err := c.admitInTurn(x)
		if !admitted {
			x.hold.Close()
			return err
		}
		go x.run()
		select {
		case <-x.bodyEnded:
		case <-c.ctx.Done():
			return c.ctx.Err()
		}
	}
}

// admitInTurn waits until a request may be handled beside those in flight. It reports false when the
// connection ends before, or is to end.
func (c *conn) admitInTurn(x *exchange) (bool, error) {
	if err := c.acquireSlot(); err != nil {
		return false, err
	}
	if err := c.reservePipelined(x); err != nil {
		return false, err
	}
	return c.admit(x), nil
}

// errStopped ends the wait for a request on a connection that is to end.
var errStopped = errors.New("connection is stopping")

func ignoreStop(err error) error {
	if errors.Is(err, errStopped) {
		return nil
	}
	return err
}

// acquireSlot waits until a further request may be handled.
func (c *conn) acquireSlot() error {
	select {
	case c.slots <- struct{}{}:
		return nil
	default:
	}
	taken := make(chan struct{})
	go func() {
		select {
		case c.slots <- struct{}{}:
			close(taken)
		case <-c.ctx.Done():
		}
	}()
	return c.watch(taken)
}

// reservePipelined reserves the memory for a request beside others. Where there is none, it waits
// until the others are answered: the connection includes the memory for one.
func (c *conn) reservePipelined(x *exchange) error {
	if c.hasInFlight() && !x.hold.TryReserve(pipelinedBytes) {
		return c.watch(c.lastEnded())
	}
	return nil
}

func (c *conn) hasInFlight() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight > 0
}

// watch reads ahead until the channel is closed, so that a disconnect of the caller
// is noticed. It returns the error of a connection that has ended.
func (c *conn) watch(until <-chan struct{}) error {
	watched := make(chan struct{})
	interrupted := make(chan struct{})
	// The deadline is cleared before the goroutine starts: cleared later, it would undo the
	// interruption by a channel that is already closed, and the connection would be read on
	// until the caller sends more.
	c.setReadDeadline(time.Time{})
	go func() {
		defer close(interrupted)
		select {
		case <-until:
			c.setReadDeadline(expiredDeadline)
		case <-watched:
		}
	}()
	err := c.readAhead()
	close(watched)
	<-interrupted
	if err != nil && !isTimeout(err) {
		return err
	}
	// The buffer is full, or the channel is closed.
	select {
	case <-until:
	case <-c.ctx.Done():
		return c.ctx.Err()
	}
	c.setReadDeadline(time.Time{})
	return nil
}

// readAhead fills the buffer.
func (c *conn) readAhead() error {
	for c.br.Buffered() < c.br.Size() {
		if _, err := c.br.Peek(c.br.Buffered() + 1); err != nil {
			return err
		}
	}
	return nil
}

// admit counts a request as in flight; false when no further one is accepted.
func (c *conn) admit(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	if c.newest != nil {
		x.turn = c.newest.ended
	}
	c.newest = x
	c.inFlight++
	c.sealed = x.last
	return true
}

// beginAnswer reports whether the answer that begins now is the last one, and seals the
// connection when the handler or a shutdown ends it.
func (c *conn) beginAnswer(x *exchange, closing bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = c.sealed || closing || c.stopping
	return c.sealed && c.newest == x
}

// seal prevents further requests from being accepted.
func (c *conn) seal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
}

// release frees the slot of an answered request.
func (c *conn) release() {
	<-c.slots
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	c.updateReadDeadline()
}

// lastEnded returns a channel that is closed when all requests in flight are answered.
func (c *conn) lastEnded() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.newest == nil {
		return closedChannel
	}
	return c.newest.ended
}

var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// beginBody reports whether a part of a body may be read, which is then counted as a wait for the
// caller until endBody.
func (c *conn) beginBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return false
	}
	c.readingBody = true
	c.account.Await()
	return true
}

func (c *conn) endBody(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingBody = false
	c.account.Progress(n)
}
