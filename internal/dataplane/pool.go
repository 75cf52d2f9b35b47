package dataplane

import (
	"net/http"
	"sync"
	"sync/atomic"
)

// peerTransport holds the connections to one address.
type peerTransport struct {
	*http.Transport
	retired atomic.Bool
}

// used is called at the end of each call. Connections that became unused after
// the address was retired are closed.
func (t *peerTransport) used() {
	if t.retired.Load() {
		t.CloseIdleConnections()
	}
}

// peerPool keeps one transport for each address, so that the unused connections
// to a node that leaves can be closed from this side. A node must not have to
// close them itself: a request could be on its way on one, and its outcome
// would be unknown.
type peerPool struct {
	make func() *http.Transport

	mutex      sync.RWMutex
	transports map[string]*peerTransport
}

func newPeerPool(config *Config) *peerPool {
	return &peerPool{
		make:       func() *http.Transport { return newPeerTransport(config) },
		transports: map[string]*peerTransport{},
	}
}

func (p *peerPool) get(address string) *peerTransport {
	p.mutex.RLock()
	transport := p.transports[address]
	p.mutex.RUnlock()
	if transport != nil {
		return transport
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if transport := p.transports[address]; transport != nil {
		return transport
	}
	transport = &peerTransport{Transport: p.make()}
	p.transports[address] = transport
	return transport
}

// retire closes the unused connections to an address. Those in use are closed
// at the end of their calls.
func (p *peerPool) retire(address string) {
	p.mutex.Lock()
	transport := p.transports[address]
	delete(p.transports, address)
	p.mutex.Unlock()
	if transport != nil {
		transport.retired.Store(true)
		transport.CloseIdleConnections()
	}
}

func (p *peerPool) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, transport := range p.transports {
		transport.CloseIdleConnections()
	}
}
