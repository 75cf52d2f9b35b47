// Package testdial provides a dial function for tests of how many connections a
// transport opens.
package testdial

import (
	"context"
	"net"
	"sync"
)

// Slow is a dialer that opens its first connection at once and delays all others until
// Finish is called. It counts the connections that are open or being opened. Use NewSlow
// to create one.
type Slow struct {
	finished chan struct{}

	mutex             sync.Mutex
	began, open, peak int
}

// NewSlow returns a Slow that has not opened any connection.
func NewSlow() *Slow { return &Slow{finished: make(chan struct{})} }

// Finish lets Dial open the delayed connections, and later ones without delay.
func (d *Slow) Finish() { close(d.finished) }

// Dial opens a connection. It can be used as the DialContext of an http.Transport.
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

// begin counts a connection that is being opened and reports whether it is the first.
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

// Highest returns the highest number of connections that were open or being opened at
// the same time.
func (d *Slow) Highest() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.peak
}

// countedConn calls closed when it is closed.
type countedConn struct {
	net.Conn
	closed func()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.closed()
	return c.Conn.Close()
}
