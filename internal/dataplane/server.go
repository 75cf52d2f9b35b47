package dataplane

import (
	"net"
	"net/http"
	"time"
)

const (
	// readHeaderTimeout bounds the arrival of a request's head.
	readHeaderTimeout = 10 * time.Second
	// addedHeaderBytes is the extra size allowed for what a node adds to the head
	// of a request.
	addedHeaderBytes = 8 << 10
)

// CallerServer returns a server for callers with the bounds of Limits. It
// listens on nothing by itself.
func (p *Plane) CallerServer() *http.Server {
	return &http.Server{
		Handler:                      p.CallerHandler(),
		ReadHeaderTimeout:            readHeaderTimeout,
		IdleTimeout:                  p.limits.CallerIdle,
		MaxHeaderBytes:               p.limits.HeaderBytes,
		DisableGeneralOptionsHandler: true,
		ConnState:                    p.callerConnections.trackConnState,
	}
}

// PeerServer returns a server for other nodes. Give it a listener that demands
// the certificates of nodes.
func (p *Plane) PeerServer() *http.Server {
	return &http.Server{
		Handler:                      p.PeerHandler(),
		ReadHeaderTimeout:            readHeaderTimeout,
		IdleTimeout:                  p.limits.PeerServerIdle,
		MaxHeaderBytes:               p.limits.HeaderBytes + addedHeaderBytes,
		DisableGeneralOptionsHandler: true,
		ConnState:                    p.peerConnections.trackConnState,
	}
}

// trackConnState counts the open connections. It is used as ConnState of http.Server.
func (f *inFlight) trackConnState(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		f.enter()
	case http.StateClosed, http.StateHijacked:
		f.leave()
	}
}
