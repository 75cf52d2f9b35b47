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
// remote zone, and what is written goes to it. It uses no goroutine of its own.
type connection struct {
	net.Conn
	links         *Links
	local, remote ZoneNumber
	closed        chan struct{}
	closeOnce     sync.Once
	lastRead      time.Time
	lastWrite     time.Time
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

// Write sends after the delay.
func (c *connection) Write(buffer []byte) (int, error) {
	if !c.links.awaitOpen(c.local, c.remote, c.closed) {
		return 0, net.ErrClosed
	}
	if time.Since(c.lastWrite) >= burstGap {
		c.pause(c.links.Delay(c.local, c.remote))
	}
	count, err := c.Conn.Write(buffer)
	c.lastWrite = time.Now()
	return count, err
}

// CloseWrite ends the sending direction if the inner connection can.
func (c *connection) CloseWrite() error {
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
