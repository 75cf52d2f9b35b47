package fabric

import (
	"net"
	"sync"
	"time"
)

// burstGap is the longest pause between two reads or writes that count as one burst. Only the first
// part of a burst is delayed, since the later parts were already in flight.
const burstGap = 200 * time.Microsecond

// connection delays the traffic between two zones: reads come from the remote zone, and writes go
// to it. It has a goroutine of its own only while a cut holds back written data.
type connection struct {
	net.Conn
	links         *Links
	local, remote ZoneNumber
	closed        chan struct{}
	closeOnce     sync.Once
	lastRead      time.Time
	lastWrite     time.Time

	mutex sync.Mutex
	// pending is the data written during a cut, and flushed is closed when it has
	// been sent; both are nil when nothing is held back.
	pending []byte
	flushed chan struct{}
}

// newConnection returns a connection between two zones over an undelayed one.
func newConnection(inner net.Conn, links *Links, local, remote ZoneNumber) *connection {
	return &connection{
		Conn:   inner,
		links:  links,
		local:  local,
		remote: remote,
		closed: make(chan struct{}),
	}
}

// Read returns received data, no earlier than the delay after it was sent.
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

// Write sends after the delay. While the direction is cut, data is buffered, as a kernel buffers it,
// and sent after the cut has healed.
func (c *connection) Write(buffer []byte) (int, error) {
	if c.enqueue(buffer) {
		return len(buffer), nil
	}
	if time.Since(c.lastWrite) >= burstGap {
		c.pause(c.links.Delay(c.local, c.remote))
	}
	count, err := c.Conn.Write(buffer)
	c.lastWrite = time.Now()
	return count, err
}

// maxPendingBytes is the limit of the data buffered during a cut, in bytes; beyond it writers wait.
const maxPendingBytes = 256 << 10

// enqueue buffers data that cannot be sent now; it returns false if the data can be sent at once.
func (c *connection) enqueue(buffer []byte) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	cut, _ := c.links.cutState(c.local, c.remote)
	if !cut && c.flushed == nil {
		return false
	}
	for c.flushed != nil && len(c.pending) > maxPendingBytes {
		c.awaitFlushLocked()
	}
	c.pending = append(c.pending, buffer...)
	if c.flushed == nil {
		c.flushed = make(chan struct{})
		go c.flush(c.flushed)
	}
	return true
}

// awaitFlushLocked waits until the pending data has been sent. It releases the lock while it waits.
func (c *connection) awaitFlushLocked() {
	flushed := c.flushed
	c.mutex.Unlock()
	<-flushed
	c.mutex.Lock()
}

// flush sends the pending data once the direction is open.
func (c *connection) flush(flushed chan struct{}) {
	defer close(flushed)
	if c.links.awaitOpen(c.local, c.remote, c.closed) {
		c.pause(c.links.Delay(c.local, c.remote))
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_, _ = c.Conn.Write(c.pending)
	c.pending = nil
	c.flushed = nil
}

// CloseWrite closes the sending direction after the pending data has been sent. If the inner
// connection cannot close one direction, it closes both.
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

// Close closes both directions and wakes goroutines that wait for a cut to heal.
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
