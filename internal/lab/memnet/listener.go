package memnet

import (
	"net"
	"net/netip"
	"sync"
)

// backlog is how many connections may wait to be accepted.
const backlog = 512

// listener accepts the connections to one address.
type listener struct {
	network *Network
	at      netip.AddrPort

	waiting chan *conn
	closed  chan struct{}
	once    sync.Once
}

func newListener(n *Network, at netip.AddrPort) *listener {
	return &listener{network: n, at: at, waiting: make(chan *conn, backlog), closed: make(chan struct{})}
}

// offer queues a connection to be accepted; it returns false when the backlog is full.
func (l *listener) offer(c *conn) bool {
	select {
	case l.waiting <- c:
		return true
	default:
		return false
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	default:
	}
	select {
	case c := <-l.waiting:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. Connections that were not accepted yet are reset.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.at)
		l.network.mu.Unlock()
		close(l.closed)
		l.resetWaiting()
	})
	return nil
}

func (l *listener) resetWaiting() {
	for {
		select {
		case c := <-l.waiting:
			c.reset()
		default:
			return
		}
	}
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.at) }
