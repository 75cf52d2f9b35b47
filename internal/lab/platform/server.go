package platform

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/levertide/levertide/internal/platform/consul/wire"
	"github.com/levertide/levertide/pkg/store/memory"
)

const (
	readHeaderTimeout = 5 * time.Second
	// sessionCheckInterval is how often sessions are checked for expiry while no request arrives.
	sessionCheckInterval = 100 * time.Millisecond
	// reopenInterval is the time between attempts to open the listener again.
	reopenInterval = 50 * time.Millisecond
)

// Config configures a Server; its zero value is valid.
type Config struct {
	// MinimumSessionTTL is the shortest time to live that a session may ask
	// for; zero means that of the published API.
	MinimumSessionTTL time.Duration
	// Now is the clock for sessions and for the lag of the machine list; nil
	// means time.Now.
	Now func() time.Time
	// Seed determines which answers are lost when only a share of them is.
	Seed uint64
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	config    Config
	store     *memory.Store
	start     time.Time
	faults    faultState
	counters  counters
	catalogue catalogue
	handler   http.Handler

	mutex    sync.Mutex
	address  string
	server   *http.Server
	listener net.Listener
	closed   bool
	stop     chan struct{}
	stopOnce sync.Once
	running  sync.WaitGroup
}

// New returns a server with an empty store. Close ends it.
func New(config Config) *Server {
	if config.MinimumSessionTTL <= 0 {
		config.MinimumSessionTTL = wire.MinimumSessionTTL
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	server := &Server{
		config: config,
		store:  memory.New(memory.Options{}),
		start:  config.Now(),
		stop:   make(chan struct{}),
	}
	server.faults.init(config.Seed)
	server.counters.init()
	server.catalogue.init()
	server.handler = server.routes()
	server.running.Go(server.advanceUntilStopped)
	return server
}

// Handler returns the published API, with faults and counters, for embedding in another
// server. There an outage of kind OutageRefuse breaks connections instead of refusing them.
func (s *Server) Handler() http.Handler { return s.handler }

// Listen starts to serve on a TCP address and returns the actual address.
func (s *Server) Listen(address string) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.address = listener.Addr().String()
	s.serveLocked(listener)
	return s.address, nil
}

func (s *Server) serveLocked(listener net.Listener) {
	server := &http.Server{Handler: s.handler, ReadHeaderTimeout: readHeaderTimeout}
	s.server, s.listener = server, listener
	s.running.Go(func() {
		err := server.Serve(listener)
		if err != nil && !errors.Is(err, http.ErrServerClosed) {
			_ = listener.Close() // clients see refused connections
		}
	})
}

// setListening opens or closes the listener to match an outage.
func (s *Server) setListening(listening bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.address == "" || s.closed {
		return
	}
	if !listening {
		s.stopServingLocked()
	}
	if listening && s.server == nil {
		s.reopenLocked()
	}
}

// stopServingLocked breaks all connections. It closes the listener as well, since
// http.Server.Close does not close a listener that Serve has not registered yet.
func (s *Server) stopServingLocked() {
	if s.server == nil {
		return
	}
	_ = s.listener.Close() // it may be closed already
	_ = s.server.Close()   // requests in progress get no answer
	s.server, s.listener = nil, nil
}

func (s *Server) reopenLocked() {
	for {
		listener, err := net.Listen("tcp", s.address)
		if err == nil {
			s.serveLocked(listener)
			return
		}
		select {
		case <-s.stop:
			return
		case <-time.After(reopenInterval):
		}
	}
}

// Close ends the server and all its connections.
func (s *Server) Close() {
	s.stopOnce.Do(func() { close(s.stop) })
	s.mutex.Lock()
	s.closed = true
	s.stopServingLocked()
	s.mutex.Unlock()
	s.running.Wait()
}

func (s *Server) advanceUntilStopped() {
	ticker := time.NewTicker(sessionCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
			s.advance()
		}
	}
}

// advance expires the sessions whose time to live has passed.
func (s *Server) advance() { s.store.Advance(s.config.Now().Sub(s.start)) }

// LapseSessions expires every session at once and returns how many there were.
func (s *Server) LapseSessions() int { return s.store.LapseSessions() }

// State returns a copy of the store's content.
func (s *Server) State() memory.State { return s.store.State() }

// Restore replaces the content, indexes included, by an older copy.
func (s *Server) Restore(state memory.State) { s.store.Restore(state) }

// blockedContext returns a context that ends after the wait, with the request, when
// the server closes, or when an outage begins.
func (s *Server) blockedContext(request *http.Request, wait time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(request.Context(), wait)
	outage := s.faults.outageBegins()
	go func() {
		select {
		case <-ctx.Done():
		case <-outage:
		case <-s.stop:
		}
		cancel()
	}()
	return ctx, cancel
}
