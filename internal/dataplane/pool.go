package dataplane

import (
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/levertide/levertide/pkg/membership"
)

// peerTransport holds the connections to one address.
type peerTransport struct {
	*http.Transport
	node    string
	retired atomic.Bool
}

// callEnded is called at the end of each call. Connections that became unused after
// the address was retired are closed.
func (t *peerTransport) callEnded() {
	if t.retired.Load() {
		t.CloseIdleConnections()
	}
}

// peerPool holds one transport for each address, so that the idle connections to
// a leaving node can be closed from this side. The leaving node must not have to
// close them itself: a request could be on its way on one, and its outcome would
// be unknown.
type peerPool struct {
	make func() *http.Transport

	mutex      sync.RWMutex
	transports map[string]*peerTransport

	// view is the directory that the transports were last compared with.
	view atomic.Pointer[membership.View]
}

func newPeerPool(config *Config) *peerPool {
	return &peerPool{
		make:       func() *http.Transport { return newPeerTransport(config) },
		transports: map[string]*peerTransport{},
	}
}

// get returns the transport for a node at an address.
func (p *peerPool) get(node, address string) *peerTransport {
	p.mutex.RLock()
	transport := p.transports[address]
	p.mutex.RUnlock()
	if transport != nil && transport.node == node {
		return transport
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	transport = p.transports[address]
	if transport != nil && transport.node == node {
		return transport
	}
	if transport != nil {
		transport.retire()
	}
	transport = &peerTransport{Transport: p.make(), node: node}
	p.transports[address] = transport
	return transport
}

// retire closes the idle connections to an address. Those in use are closed at
// the end of their calls.
func (p *peerPool) retire(address string) {
	p.mutex.Lock()
	transport := p.transports[address]
	delete(p.transports, address)
	p.mutex.Unlock()
	if transport != nil {
		transport.retire()
	}
}

func (t *peerTransport) retire() {
	t.retired.Store(true)
	t.CloseIdleConnections()
}

// retireUnlisted retires the addresses at which a new directory no longer lists the
// node as live.
func (p *peerPool) retireUnlisted(view *membership.View) {
	previous := p.view.Load()
	if view == nil || view == previous || !p.view.CompareAndSwap(previous, view) {
		return
	}
	for _, address := range p.unlisted(view) {
		p.retire(address)
	}
}

func (p *peerPool) unlisted(view *membership.View) []string {
	p.mutex.RLock()
	defer p.mutex.RUnlock()
	var addresses []string
	for address, transport := range p.transports {
		record, ok := view.Get(transport.node)
		if !ok || record.State != membership.StateLive || record.CallAddress != address {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

func (p *peerPool) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, transport := range p.transports {
		transport.CloseIdleConnections()
	}
}
