package fabric

import (
	"net"
	"sync"
	"time"
)

// burstGap is the longest pause between two reads or writes that are taken to
// belong to one burst, whose later parts were already under way.
const burstGap = 200 * time.Microsecond

// connection delays what passes between two zones: what is read comes from the
// remote zone, and what is written goes to it. It has a goroutine of its own
// only while a cut holds back what was written.
type connection struct {
	net.Conn
	links         *Links
	local, remote ZoneNumber
	closed        chan struct{}
	closeOnce     sync.Once
	lastRead      time.Time
	lastWrite     time.Time

	mutex sync.Mutex
	// kept is what was written during a cut, and flushed is closed when it has
	// been sent; nil when nothing is kept.
	kept    []byte
	flushed chan struct{}
}

// wrap returns a connection between two zones over an undelayed one.
func wrap(inner net.Conn, links *Links, local, remote ZoneNumber) *connection {
	return &connection{
		Conn:   inner,
		links:  links,
		local:  local,
		remote: remote,
		closed: make(chan struct{}),
	}
}

// Read returns what arrived, no earlier than the delay after it was sent.
func (c *connection) Read(buffer []byte) (int, error) {
	started := time.Now()
	count, err := c.Conn.Read(buffer)
	if !c.links.awaitOpen(c.remote, c.local, c.closed) {
		return 0, net.ErrClosed
	}
	inBurst := time.Since(started) < burstGap && started.Sub(c.lastRead) < burstGap
	if !inBurst && count > 0 {
		c.pause(c.links.Delay(c.remote, c.local))
	}
	c.lastRead = time.Now()
	return count, err
}

// Write sends after the delay. While the direction is cut, what is written is
// kept, as a kernel keeps it, and sent after the heal.
func (c *connection) Write(buffer []byte) (int, error) {
	if c.keep(buffer) {
		return len(buffer), nil
	}
	if time.Since(c.lastWrite) >= burstGap {
		c.pause(c.links.Delay(c.local, c.remote))
	}
	count, err := c.Conn.Write(buffer)
	c.lastWrite = time.Now()
	return count, err
}

// maxKept bounds what is kept during a cut, in bytes; beyond it writers wait.
const maxKept = 256 << 10

// keep takes what cannot be sent now; false tells that it can.
func (c *connection) keep(buffer []byte) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	cut, _ := c.links.cutState(c.local, c.remote)
	if !cut && c.flushed == nil {
		return false
	}
	for c.flushed != nil && len(c.kept) > maxKept {
		c.awaitFlushLocked()
	}
	c.kept = append(c.kept, buffer...)
	if c.flushed == nil {
		c.flushed = make(chan struct{})
		go c.flush(c.flushed)
	}
	return true
}

// awaitFlushLocked waits, without the lock, until what was kept has been sent.
func (c *connection) awaitFlushLocked() {
	flushed := c.flushed
	c.mutex.Unlock()
	<-flushed
	c.mutex.Lock()
}

// flush sends what was kept once the direction is open.
func (c *connection) flush(flushed chan struct{}) {
	defer close(flushed)
	if c.links.awaitOpen(c.local, c.remote, c.closed) {
		c.pause(c.links.Delay(c.local, c.remote))
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_, _ = c.Conn.Write(c.kept)
	c.kept = nil
	c.flushed = nil
}

// CloseWrite ends the sending direction, if the inner connection can, after
// what was kept has been sent.
func (c *connection) CloseWrite() error {
	c.mutex.Lock()
	for c.flushed != nil {
		c.awaitFlushLocked()
	}
	c.mutex.Unlock()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.Close()
}

// Close ends both directions and wakes whoever waits for a cut to heal.
func (c *connection) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// pause waits for the delay or until the connection is closed.
func (c *connection) pause(delay time.Duration) {
	if delay <= 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.closed:
	}
}
