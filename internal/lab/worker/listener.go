package worker

import (
	"net"
	"sync"
)

// boundedListener closes connections beyond its limit as soon as they are accepted.
type boundedListener struct {
	net.Listener
	onClosed func()

	mutex sync.Mutex
	limit int
	open  int
}

func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.acquire() {
			return &boundedConnection{Conn: connection, listener: l}, nil
		}
		_ = connection.Close()
		l.onClosed()
	}
}

func (l *boundedListener) acquire() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.open >= l.limit {
		return false
	}
	l.open++
	return true
}

func (l *boundedListener) release() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open--
}

// boundedConnection is one of the open connections of a boundedListener until it is closed.
type boundedConnection struct {
	net.Conn
	listener *boundedListener
	once     sync.Once
}

func (c *boundedConnection) Close() error {
	c.once.Do(c.listener.release)
	return c.Conn.Close()
}
