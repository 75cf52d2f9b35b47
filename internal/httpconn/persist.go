package httpconn

import (
	"errors"
	"net"
	"sync"
	"time"
)

// The shortest and the longest pause after a connection could not be accepted, as when the process
// or the machine has no memory or descriptor left for it.
const (
	firstAcceptPause   = 5 * time.Millisecond
	longestAcceptPause = time.Second
)

// Persist returns a listener that goes on after each error until it is closed. An http.Server ends
// with all errors but a few, and closes its listener.
func Persist(l net.Listener) net.Listener {
	return &persistentListener{Listener: l, closed: make(chan struct{})}
}

type persistentListener struct {
	net.Listener
	once   sync.Once
	closed chan struct{}
}

// Accept implements net.Listener.
func (l *persistentListener) Accept() (net.Conn, error) {
	pause := firstAcceptPause
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		select {
		case <-time.After(pause):
		case <-l.closed:
			return nil, net.ErrClosed
		}
		pause = min(2*pause, longestAcceptPause)
	}
}

// Close implements net.Listener.
func (l *persistentListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
