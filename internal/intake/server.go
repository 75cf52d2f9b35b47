package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/levertide/levertide/internal/httpconn"
)

// Server is an http.Server whose connections are counted. A connection counts as one that keeps the
// node waiting while no request of it is being handled.
type Server struct {
	*http.Server
	ledger *Ledger
}

// Guard returns a server that counts its connections in a ledger.
func Guard(server *http.Server, ledger *Ledger) *Server {
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		account := connOf(r.Context()).accountOf()
		account.Resume()
		defer func() {
			account.Renew()
			account.Await()
		}()
		handler.ServeHTTP(w, r)
	})
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if counted, ok := c.(*countedConn); ok {
			return context.WithValue(ctx, connKey{}, counted)
		}
		return ctx
	}
	return &Server{Server: server, ledger: ledger}
}

type connKey struct{}

// connOf returns the connection of a context; nil where it has none.
func connOf(ctx context.Context) *countedConn {
	conn, _ := ctx.Value(connKey{}).(*countedConn)
	return conn
}

// Arrived returns when the request of a context came. That is now, unless it had to wait for its
// connection to be accepted. It must be called once for each request, by its handler.
func Arrived(ctx context.Context) time.Time {
	conn := connOf(ctx)
	if conn == nil || conn.waitedSince.IsZero() {
		return time.Now()
	}
	arrived := conn.waitedSince
	conn.waitedSince = time.Time{}
	return arrived
}

// Serve serves the connections of a listener, and goes on when one cannot be accepted.
func (s *Server) Serve(l net.Listener) error {
	ctx, cancel := context.WithCancel(context.Background())
	return s.Server.Serve(&countedListener{Listener: httpconn.Persist(l), ledger: s.ledger, ctx: ctx, cancel: cancel})
}

// countedListener accepts connections when there is room for them.
type countedListener struct {
	net.Listener
	ledger *Ledger
	ctx    context.Context
	cancel context.CancelFunc
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	account := l.ledger.Open(l.ctx, func() { _ = conn.Close() })
	if account == nil {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	httpconn.BoundUnsent(conn)
	account.Await()
	counted := &countedConn{Conn: conn, account: account}
	if waited := httpconn.SinceReceived(conn); waited > 0 {
		counted.waitedSince = time.Now().Add(-waited)
	}
	return counted, nil
}

// Close implements net.Listener.
func (l *countedListener) Close() error {
	l.cancel()
	return l.Listener.Close()
}

// countedConn is a connection whose end closes its account.
type countedConn struct {
	net.Conn
	account *Account
	once    sync.Once
	// waitedSince is when the first request came if that was before the connection was accepted, and
	// zero once it is being handled.
	waitedSince time.Time
}

// accountOf returns the account of a connection; nil where there is none.
func (c *countedConn) accountOf() *Account {
	if c == nil {
		return nil
	}
	return c.account
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(c.account.Close)
	return c.Conn.Close()
}
