package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http/httptrace"
	"sync"
	"time"
)

// sending follows a request on its connection.
type sending struct {
	mu    sync.Mutex
	conn  net.Conn
	whole bool
}

// follow returns the context with which the request is to be sent.
func (s *sending) follow(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(got httptrace.GotConnInfo) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.conn, s.whole = got.Conn, false
		},
		WroteRequest: func(wrote httptrace.WroteRequestInfo) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.whole = wrote.Err == nil
		},
	})
}

// readInFull reports whether the other side is known to have read all of the request. Only the
// network in memory can tell.
func (s *sending) readInFull() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn, tells := s.conn.(interface{ Unread() int })
	return tells && s.whole && conn.Unread() == 0
}

// gaveUp reports whether a caller has given a request up before its answer was overdue.
func gaveUp(err error, began time.Time) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout() && time.Since(began) < 2*callBound
}

// pausedBody is a body that pauses once.
type pausedBody struct {
	rest    []byte
	pauseAt int
	pause   time.Duration
}

// Read implements io.Reader.
func (b *pausedBody) Read(p []byte) (int, error) {
	if len(b.rest) == 0 {
		return 0, io.EOF
	}
	if b.pause > 0 && len(b.rest) <= b.pauseAt {
		time.Sleep(b.pause)
		b.pause = 0
	}
	n := copy(p, b.rest)
	if b.pause > 0 {
		n = copy(p, b.rest[:len(b.rest)-b.pauseAt])
	}
	b.rest = b.rest[n:]
	return n, nil
}
