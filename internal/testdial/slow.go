// Package testdial has dial functions for tests of how many connections are opened.
package testdial

import (
	"context"
	"net"
	"sync"
)

// Slow opens its first connection at once, and all others when it is told to finish. It
// counts the connections that are open or about to be. Use NewSlow.
type Slow struct {
	finished chan struct{}

	mutex             sync.Mutex
	began, open, peak int
}

// NewSlow returns a Slow that has opened nothing.
func NewSlow() *Slow { return &Slow{finished: make(chan struct{})} }

// Finish lets the connections that wait be opened, and all that follow.
func (d *Slow) Finish() { close(d.finished) }

// Dial opens a connection. It is a dial function of a transport.
func (d *Slow) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if !d.begin() {
		select {
		case <-d.finished:
		case <-ctx.Done():
			d.closed()
			return nil, ctx.Err()
		}
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		d.closed()
		return nil, err
	}
	return &countedConn{Conn: conn, closed: sync.OnceFunc(d.closed)}, nil
}

// begin counts a connection and reports whether it is the first one.
func (d *Slow) begin() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.began++
	d.open++
	d.peak = max(d.peak, d.open)
	return d.began == 1
}

func (d *Slow) closed() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.open--
}

// Highest returns how many connections were open, or about to be, at most.
func (d *Slow) Highest() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.peak
}

// countedConn tells when it is closed.
type countedConn struct {
	net.Conn
	closed func()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.closed()
	return c.Conn.Close()
}
