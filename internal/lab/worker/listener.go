package worker

import (
	"net"
	"sync"
)

// boundedListener closes connections beyond its limit as soon as they come.
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
		if l.enter() {
			return &boundedConnection{Conn: connection, listener: l}, nil
		}
		_ = connection.Close()
		l.onClosed()
	}
}

func (l *boundedListener) enter() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.open >= l.limit {
		return false
	}
	l.open++
	return true
}

func (l *boundedListener) leave() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open--
}

// boundedConnection gives its place back when it is closed.
type boundedConnection struct {
	net.Conn
	listener *boundedListener
	once     sync.Once
}

func (c *boundedConnection) Close() error {
	c.once.Do(c.listener.leave)
	return c.Conn.Close()
}
