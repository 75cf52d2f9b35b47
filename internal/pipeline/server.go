package pipeline

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/internal/intake"
	"github.com/levertide/levertide/pkg/contain"
)

// connectionName names the connections in panics.
const connectionName = "connection of a caller"

// Config sets up a Server. Handler and MaxPipelined must be given, and the three limits or Limits.
type Config struct {
	Handler http.Handler
	// MaxPipelined bounds the requests of one connection that are handled at the
	// same time. Nothing more is read from the connection meanwhile.
	MaxPipelined int
	// MaxHeaderBytes bounds the head of a request, ReadHeaderTimeout its arrival
	// once it has begun.
	MaxHeaderBytes    int
	ReadHeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a request is kept, and how long the caller may
	// take to read a part of an answer.
	IdleTimeout time.Duration
	// Limits returns the limits in force, in place of the three above; nil means that these hold.
	Limits func() Limits
	// Ledger counts what callers hold; nil means that there are no bounds.
	Ledger *intake.Ledger
	// Panicked is called with each panic that was contained: one of a handler, which ends the connection,
	// or one while a request was read. Nil means that nobody is told.
	Panicked contain.Report
	// ReceiveBuffer returns the size of the receive buffer of a connection, in bytes, when a number
	// of others is open; nil leaves it to the operating system.
	ReceiveBuffer func(open int) int
}

// Limits are those of a Config that may change.
type Limits struct {
	MaxHeaderBytes    int
	ReadHeaderTimeout time.Duration
	IdleTimeout       time.Duration
}

// limits returns the limits in force.
func (cfg *Config) limits() Limits {
	if cfg.Limits != nil {
		return cfg.Limits()
	}
	return Limits{MaxHeaderBytes: cfg.MaxHeaderBytes, ReadHeaderTimeout: cfg.ReadHeaderTimeout, IdleTimeout: cfg.IdleTimeout}
}

// Server accepts connections and serves the requests on them. Use New.
type Server struct {
	cfg Config
	// handler is that of the configuration, whose panics are contained.
	handler http.Handler

	mu        sync.Mutex
	closed    bool
	listeners map[net.Listener]struct{}
	conns     map[*conn]struct{}
	// ctx ends when the server stops.
	ctx    context.Context
	cancel context.CancelFunc
	// cachedDate is the Date header of the current second.
	cachedDate atomic.Pointer[dateHeader]
	// ended is closed and replaced whenever a connection has ended.
	ended chan struct{}
}

// dateHeader is the value of a Date header, shared by the answers of one second.
type dateHeader struct {
	second int64
	value  []string
}

// date returns the Date header for an answer that begins now.
func (s *Server) date() []string {
	now := time.Now()
	if cached := s.cachedDate.Load(); cached != nil && cached.second == now.Unix() {
		return cached.value
	}
	created := &dateHeader{second: now.Unix(), value: []string{now.UTC().Format(http.TimeFormat)}}
	s.cachedDate.Store(created)
	return created.value
}

// New returns a Server. It listens on nothing by itself.
func New(cfg Config) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		cfg:       cfg,
		handler:   contain.Handler("callers", cfg.Panicked, cfg.Handler),
		ctx:       ctx,
		cancel:    cancel,
		listeners: map[net.Listener]struct{}{},
		conns:     map[*conn]struct{}{},
		ended:     make(chan struct{}),
	}
}

// Serve serves the connections of a listener until the server is shut down or
// closed, when it returns http.ErrServerClosed, or the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	l = httpconn.Persist(l)
	if !s.track(l) {
		_ = l.Close()
		return http.ErrServerClosed
	}
	defer s.untrack(l)
	for {
		rwc, err := l.Accept()
		switch {
		case err == nil:
			s.start(rwc)
		case s.isClosed():
			return http.ErrServerClosed
		default:
			return err
		}
	}
}

func (s *Server) track(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.listeners[l] = struct{}{}
	return true
}

func (s *Server) untrack(l net.Listener) {
	_ = l.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, l)
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// start serves a connection once there is room for it. Connections that come meanwhile wait in
// the queue of the listener.
func (s *Server) start(rwc net.Conn) {
	c := newConn(s, rwc)
	if s.cfg.Ledger != nil {
		c.account = s.cfg.Ledger.Open(s.ctx, c.evict)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = rwc.Close()
		c.account.Close()
		return
	}
	s.boundBuffers(rwc)
	s.conns[c] = struct{}{}
	go func() {
		defer s.removeConn(c)
		if !contain.Run(contain.Request, connectionName, s.cfg.Panicked, c.serve) {
			c.abort()
		}
	}()
}

// boundBuffers bounds what the operating system holds of a connection. The mutex is held.
func (s *Server) boundBuffers(rwc net.Conn) {
	if s.cfg.ReceiveBuffer != nil {
		httpconn.BoundBuffers(rwc, s.cfg.ReceiveBuffer(len(s.conns)))
	}
}

func (s *Server) removeConn(c *conn) {
	c.account.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	close(s.ended)
	s.ended = make(chan struct{})
}

// Shutdown stops accepting connections, ends each open one after the requests that
// were read from it are answered, and waits for that or for the context.
func (s *Server) Shutdown(ctx context.Context) error {
	for _, c := range s.stop() {
		c.stop()
	}
	for {
		open, ended := s.open()
		if open == 0 {
			return nil
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Close closes the listeners and all connections immediately.
func (s *Server) Close() error {
	for _, c := range s.stop() {
		c.abort()
	}
	return nil
}

// stop closes the listeners and returns the connections.
func (s *Server) stop() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.cancel()
	for l := range s.listeners {
		_ = l.Close()
	}
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}

func (s *Server) open() (int, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns), s.ended
}
