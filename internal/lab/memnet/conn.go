package memnet

import (
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

// window is how many bytes may be in transit in one direction of a connection.
const window = 256 << 10

// conn is one end of a connection.
type conn struct {
	reads, writes *pipe
	local, remote netip.AddrPort
	once          sync.Once
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) { return c.reads.read(b) }

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) { return c.writes.write(b) }

// Close implements net.Conn. Bytes already written still arrive; bytes not yet read
// are discarded, and further writes of the peer fail.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.writes.finish()
		c.reads.abandon()
	})
	return nil
}

// SinceReceived returns for how long the bytes that have arrived wait to be read; zero when there are
// none.
func (c *conn) SinceReceived() time.Duration { return c.reads.sinceReceived() }

// Unread returns how many of the bytes that were written the peer has not read, nor will when it has
// closed its end or the connection is broken.
func (c *conn) Unread() int { return c.writes.unread() }

// CloseWrite ends the sending direction.
func (c *conn) CloseWrite() error {
	c.writes.finish()
	return nil
}

// Reset breaks the connection, as a process does that ends it with bytes unread: the peer's reads and
// writes fail.
func (c *conn) Reset() { c.reset() }

// reset breaks both directions.
func (c *conn) reset() {
	c.writes.fail(syscall.ECONNRESET)
	c.reads.fail(syscall.ECONNRESET)
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(c.local) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.reads.readDeadline.set(t)
	c.writes.writeDeadline.set(t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.reads.readDeadline.set(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writes.writeDeadline.set(t)
	return nil
}

// segment holds bytes that were sent together.
type segment struct {
	bytes []byte
	// due is the time of its arrival.
	due time.Time
}

// pipe is one direction of a connection.
type pipe struct {
	network *Network
	link    link

	mu      sync.Mutex
	changed *sync.Cond
	sent    []segment
	size    int
	// finished is set when the writer has ended, abandoned when the reader has.
	finished, abandoned bool
	broken              error
	readDeadline        deadline
	writeDeadline       deadline
}

func newPipe(n *Network, l link) *pipe {
	p := &pipe{network: n, link: l}
	p.changed = sync.NewCond(&p.mu)
	p.readDeadline.wake, p.writeDeadline.wake = p.wake, p.wake
	return p
}

// wake makes all waiting readers and writers check again.
func (p *pipe) wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changed.Broadcast()
}

func (p *pipe) read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		switch {
		case p.readDeadline.passed():
			return 0, os.ErrDeadlineExceeded
		case p.broken != nil:
			return 0, p.broken
		case p.abandoned:
			return 0, net.ErrClosed
		case len(b) == 0:
			return 0, nil
		}
		if n := p.take(b); n > 0 {
			p.changed.Broadcast()
			return n, nil
		}
		if len(p.sent) == 0 && p.finished && !p.network.cut(p.link) {
			return 0, io.EOF
		}
		p.await()
	}
}

// take reads the bytes that have arrived. The mutex is held.
func (p *pipe) take(b []byte) int {
	total := 0
	for total < len(b) && len(p.sent) > 0 && !p.network.cut(p.link) && !p.sent[0].due.After(time.Now()) {
		first := &p.sent[0]
		n := copy(b[total:], first.bytes)
		first.bytes = first.bytes[n:]
		total += n
		if len(first.bytes) == 0 {
			p.sent = p.sent[1:]
		}
	}
	p.size -= total
	return total
}

func (p *pipe) sinceReceived() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.sent) == 0 {
		return 0
	}
	return max(time.Since(p.sent[0].due), 0)
}

func (p *pipe) unread() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.size
}

// await waits for a change, or for the next segment to arrive. The mutex is held.
func (p *pipe) await() {
	if len(p.sent) > 0 {
		if left := time.Until(p.sent[0].due); left > 0 {
			t := time.AfterFunc(left, p.wake)
			defer t.Stop()
		}
	}
	p.changed.Wait()
}

func (p *pipe) write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	written := 0
	for {
		switch {
		case p.writeDeadline.passed():
			return written, os.ErrDeadlineExceeded
		case p.broken != nil:
			return written, p.broken
		case p.finished:
			return written, net.ErrClosed
		case p.abandoned:
			return written, syscall.EPIPE
		case written == len(b):
			return written, nil
		}
		if room := min(window-p.size, len(b)-written); room > 0 {
			p.send(b[written : written+room])
			written += room
			continue
		}
		p.changed.Wait()
	}
}

// send queues bytes that arrive after the delay of the network. The mutex is held.
func (p *pipe) send(b []byte) {
	p.sent = append(p.sent, segment{bytes: append([]byte(nil), b...), due: time.Now().Add(p.network.delay)})
	p.size += len(b)
	p.changed.Broadcast()
}

// finish ends the writer's side.
func (p *pipe) finish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finished = true
	p.changed.Broadcast()
	p.removeIfEnded()
}

// abandon ends the reader's side. Unread bytes are discarded, and further writes fail.
func (p *pipe) abandon() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.abandoned = true
	p.sent = nil
	p.changed.Broadcast()
	p.removeIfEnded()
}

// removeIfEnded removes the pipe from the network once both sides have ended. The
// mutex is held.
func (p *pipe) removeIfEnded() {
	if p.finished && p.abandoned {
		p.network.remove(p)
	}
}

// fail breaks the pipe for both sides.
func (p *pipe) fail(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broken, p.sent = err, nil
	p.changed.Broadcast()
	p.network.remove(p)
}

// deadline is the time at which a wait fails.
type deadline struct {
	wake func()

	mu    sync.Mutex
	at    time.Time
	timer *time.Timer
}

// set changes the deadline; the zero time is none.
func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	d.at = t
	if left := time.Until(t); !t.IsZero() && left > 0 {
		d.timer = time.AfterFunc(left, d.wake)
	}
	d.mu.Unlock()
	d.wake()
}

func (d *deadline) passed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.at.IsZero() && !d.at.After(time.Now())
}
