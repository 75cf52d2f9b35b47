package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/pkg/contain"
)

// adminName names the listener for operators.
const adminName = "admin"

// closeTimeout bounds the shutdown of a listener after the calls have ended.
const closeTimeout = time.Second

// server runs one HTTP listener as a suture service. When it is restarted, it
// opens its address again.
type server struct {
	name    string
	address string
	tls     *tls.Config
	// newHTTPServer returns the HTTP server of one run, with its time and size limits set.
	newHTTPServer func() *http.Server
	// panicked is called with each panic of a handler; nil means that nobody is told.
	panicked contain.Report

	mutex sync.Mutex
	// first is the listener opened at start; it serves the first run.
	first net.Listener
}

// newServer opens the address at once, so that an error is reported before anything runs.
func newServer(name, address string, config *tls.Config) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, ErrStart.Wrap(err, "cannot open the %s listener", name)
	}
	return &server{name: name, address: listener.Addr().String(), tls: config, first: listener}, nil
}

// Serve answers requests until the context ends.
func (s *server) Serve(ctx context.Context) error {
	listener, err := s.listen()
	if err != nil {
		return err
	}
	web := s.newHTTPServer()
	web.Handler = contain.Handler(s.name, s.panicked, web.Handler)
	// Errors of single connections are not events of the node.
	web.ErrorLog = log.New(io.Discard, "", 0)
	ended := make(chan error, 1)
	go func() { ended <- web.Serve(listener) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
		return closeServer(web, ended)
	}
}

func (s *server) listen() (net.Listener, error) {
	listener, err := s.takeListener()
	if err != nil {
		return nil, err
	}
	listener = httpconn.Persist(listener)
	if s.tls == nil {
		return listener, nil
	}
	return tls.NewListener(listener, s.tls), nil
}

func (s *server) takeListener() (net.Listener, error) {
	s.mutex.Lock()
	first := s.first
	s.first = nil
	s.mutex.Unlock()
	if first != nil {
		return first, nil
	}
	return net.Listen("tcp", s.address)
}

// closeUnserved closes the listener of a server that never ran.
func (s *server) closeUnserved() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.first != nil {
		_ = s.first.Close()
	}
}

func closeServer(web *http.Server, ended <-chan error) error {
	bounded, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := web.Shutdown(bounded); err != nil {
		_ = web.Close()
	}
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return context.Canceled
}

// String returns the name used in log events.
func (s *server) String() string { return s.name + " listener" }
