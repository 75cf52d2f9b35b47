package pipeline

import (
	"io"
	"net"
	"time"
)

const (
	// lingerTime and lingerBytes bound how long a connection is still read from
	// after its last answer: closing with unread bytes would reset it, and the
	// caller could lose the answer on its way.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
)

// stop makes the connection end after the requests that were read are answered.
func (c *conn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
	c.updateReadDeadline()
}

// abort ends the connection at once.
func (c *conn) abort() {
	c.cancel()
	_ = c.rwc.Close()
}

// evict ends a caller that keeps the node waiting while others need the room. One that is sending a
// body is told first that its request has not been received.
func (c *conn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readingBody && !c.evicted {
		c.evicted = true
		c.setDeadline(expiredDeadline)
		return
	}
	c.abort()
}

// resetAtEnd sets whether the end of the connection is a reset, whoever ends it, the end of the
// process included: while an answer is not complete that the end of the connection marks, an
// orderly end would make it look so.
func (c *conn) resetAtEnd(reset bool) {
	tcp, ok := c.rwc.(*net.TCPConn)
	if !ok {
		return
	}
	seconds := -1
	if reset {
		seconds = 0
	}
	_ = tcp.SetLinger(seconds)
}

// linger closes the sending side and discards what still arrives, up to lingerTime and
// lingerBytes.
func (c *conn) linger() {
	half, ok := c.rwc.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	c.account.Await()
	defer c.account.Resume()
	_ = c.rwc.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.rwc, lingerBytes)
}
