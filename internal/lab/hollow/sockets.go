package hollow

import (
	"context"
	"net"
	"sync"
)

// sockets keeps every connection of one node, so that a crash can break all of
// them at once.
type sockets struct {
	mutex  sync.Mutex
	open   map[net.Conn]struct{}
	closed bool
}

// newSockets returns an empty set.
func newSockets() *sockets { return &sockets{open: make(map[net.Conn]struct{})} }

// track notes a connection, or closes it when the node has crashed already.
func (s *sockets) track(opened net.Conn) (net.Conn, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		_ = opened.Close()
		return nil, net.ErrClosed
	}
	tracked := &trackedConnection{Conn: opened, sockets: s}
	s.open[tracked] = struct{}{}
	return tracked, nil
}

// forget drops a connection that was closed.
func (s *sockets) forget(closed net.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.open, closed)
}

// crash breaks every connection and refuses new ones.
func (s *sockets) crash() {
	s.mutex.Lock()
	s.closed = true
	open := s.open
	s.open = make(map[net.Conn]struct{})
	s.mutex.Unlock()
	for connection := range open {
		_ = connection.Close()
	}
}

// dial wraps a dial function so that its connections are tracked.
func (s *sockets) dial(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return s.track(opened)
	}
}

// trackedConnection leaves its set when it is closed.
type trackedConnection struct {
	net.Conn
	sockets *sockets
}

// Close closes the connection.
func (c *trackedConnection) Close() error {
	c.sockets.forget(c)
	return c.Conn.Close()
}

// trackedListener tracks the connections that it accepts.
type trackedListener struct {
	net.Listener
	sockets *sockets
}

// Accept returns the next connection.
func (l *trackedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := accepted.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle, Count: keepAliveCount,
		})
	}
	return l.sockets.track(accepted)
}
