package sidecar

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// readHeaderTime bounds the time to read the head of a request, maximumRequestHead its size
	// in bytes, readTime the time to read a whole request, and idleTime the rest between two.
	readHeaderTime     = 10 * time.Second
	readTime           = 20 * time.Second
	idleTime           = 120 * time.Second
	maximumRequestHead = 64 << 10
)

// server answers requests on a listener.
type server interface {
	// Serve answers requests until the server is shut down or closed, when it returns
	// http.ErrServerClosed.
	Serve(l net.Listener) error
	Shutdown(ctx context.Context) error
	Close() error
}

// newServer returns an HTTP server for a handler. It discards its error log, since faults
// of single connections are no events of the node.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTime,
		ReadTimeout:       readTime,
		IdleTimeout:       idleTime,
		MaxHeaderBytes:    maximumRequestHead,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
}

// listener is one HTTP server with its address, as a suture service.
type listener struct {
	name    string
	network Network
	server  server

	mutex   sync.Mutex
	initial net.Listener
	// address is where it listens, also after it was started again.
	address string
}

// listen opens an address at once, so that a fault is found before anything runs.
func listen(network Network, name, address string, server server) (*listener, error) {
	opened, err := network.Listen(address)
	if err != nil {
		return nil, ErrStart.Wrap(err, "listener for %s", name)
	}
	return &listener{name: name, network: network, server: server, initial: opened, address: opened.Addr().String()}, nil
}

// String names the listener in events.
func (l *listener) String() string { return l.name }

// Serve answers requests until the context ends.
func (l *listener) Serve(ctx context.Context) error {
	opened, err := l.initialOrReopened()
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = l.server.Close() })
	defer stop()
	err = l.server.Serve(opened)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

func (l *listener) initialOrReopened() (net.Listener, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if opened := l.initial; opened != nil {
		l.initial = nil
		return opened, nil
	}
	return l.network.Listen(l.address)
}

// shutdown ends the server once its requests have ended, or with the context.
func (l *listener) shutdown(ctx context.Context) {
	if l.server.Shutdown(ctx) != nil {
		_ = l.server.Close()
	}
}
