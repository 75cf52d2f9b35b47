package pipeline

import (
	"errors"
	"os"
	"time"
)

// expiredDeadline is a deadline that ends a read in progress.
var expiredDeadline = time.Unix(1, 0)

// awaitRequest waits for the first byte of a request.
func (c *conn) awaitRequest() error {
	var err error
	if c.br.Buffered() == 0 {
		c.setAwaitingRequest(true)
		_, err = c.br.Peek(1)
		c.setAwaitingRequest(false)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed || err != nil && c.stopping && isTimeout(err) {
		return errStopped
	}
	return err
}

func (c *conn) setAwaitingRequest(waiting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingRequest = waiting
	c.updateReadDeadline()
}

// updateReadDeadline sets the deadline of the wait for a request. The mutex is held.
func (c *conn) updateReadDeadline() {
	c.countIdle(c.awaitingRequest && c.inFlight == 0)
	switch {
	case !c.awaitingRequest:
	case c.inFlight > 0:
		c.setDeadline(time.Time{})
	case c.sealed || c.stopping:
		c.setDeadline(expiredDeadline)
	default:
		c.setDeadline(time.Now().Add(c.server.cfg.limits().IdleTimeout))
	}
}

// countIdle counts the caller as awaited, or not, between requests. The mutex is held.
func (c *conn) countIdle(idle bool) {
	switch {
	case idle && !c.idle:
		c.account.Await()
	case !idle && c.idle:
		c.account.Resume()
	}
	c.idle = idle
}

// setDeadline sets the deadline of reads of requests; it does nothing when a
// deadline is cleared that is not set. The mutex is held.
func (c *conn) setDeadline(t time.Time) {
	if t.IsZero() && !c.hasDeadline {
		return
	}
	c.hasDeadline = !t.IsZero()
	_ = c.rwc.SetReadDeadline(t)
}

// setReadDeadline sets the deadline of the reads in progress.
func (c *conn) setReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setDeadline(t)
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
