package memnet

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// firstPort is the first of the ports assigned to listeners on port 0 and to dialling hosts.
const firstPort = 20000

// link is one direction between two hosts.
type link struct{ from, to netip.Addr }

// Network connects hosts. Use New. It is safe for concurrent use.
type Network struct {
	delay time.Duration

	mu        sync.Mutex
	healed    *sync.Cond
	listeners map[netip.AddrPort]*listener
	conns     map[*pipe]bool
	cuts      map[link]bool
	nextPort  uint16
}

// New returns a network whose connections have the given one-way delay.
func New(delay time.Duration) *Network {
	n := &Network{
		delay:     delay,
		listeners: map[netip.AddrPort]*listener{},
		conns:     map[*pipe]bool{},
		cuts:      map[link]bool{},
		nextPort:  firstPort,
	}
	n.healed = sync.NewCond(&n.mu)
	return n
}

// Host is one address in a Network.
type Host struct {
	network *Network
	addr    netip.Addr
}

// Host returns the host with an IP address, which must be valid.
func (n *Network) Host(address string) *Host {
	return &Host{network: n, addr: netip.MustParseAddr(address)}
}

// Listen opens an IP:port of the host; port 0 selects any free port.
func (h *Host) Listen(address string) (net.Listener, error) {
	requested, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: err}
	}
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	at := netip.AddrPortFrom(h.addr, requested.Port())
	if requested.Port() == 0 {
		at = n.freePort(h.addr)
	}
	if n.listeners[at] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Addr: net.TCPAddrFromAddrPort(at), Err: syscall.EADDRINUSE}
	}
	l := newListener(n, at)
	n.listeners[at] = l
	return l, nil
}

// freePort returns an unused port. The mutex is held.
func (n *Network) freePort(addr netip.Addr) netip.AddrPort {
	for {
		at := netip.AddrPortFrom(addr, n.nextPort)
		n.nextPort++
		if n.listeners[at] == nil {
			return at
		}
	}
}

// Dial opens a connection from the host.
func (h *Host) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
	}
	fail := func(err error) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: net.TCPAddrFromAddrPort(to), Err: err}
	}
	if err := h.handshake(ctx, to.Addr()); err != nil {
		return fail(err)
	}
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listeners[to]
	if l == nil {
		return fail(syscall.ECONNREFUSED)
	}
	from := n.freePort(h.addr)
	near, far := n.connect(from, to)
	if !l.offer(far) {
		return fail(syscall.ECONNREFUSED)
	}
	return near, nil
}

// handshake waits until neither direction is cut, and then for the round trip of a TCP
// handshake, which is twice the one-way delay.
func (h *Host) handshake(ctx context.Context, to netip.Addr) error {
	n := h.network
	stop := context.AfterFunc(ctx, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.healed.Broadcast()
	})
	defer stop()
	n.mu.Lock()
	for ctx.Err() == nil && (n.cuts[link{h.addr, to}] || n.cuts[link{to, h.addr}]) {
		n.healed.Wait()
	}
	n.mu.Unlock()
	t := time.NewTimer(2 * n.delay)
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// connect makes the two ends of a connection. The mutex is held.
func (n *Network) connect(from, to netip.AddrPort) (near, far *conn) {
	there := newPipe(n, link{from.Addr(), to.Addr()})
	back := newPipe(n, link{to.Addr(), from.Addr()})
	n.conns[there], n.conns[back] = true, true
	near = &conn{reads: back, writes: there, local: from, remote: to}
	far = &conn{reads: there, writes: back, local: to, remote: from}
	return near, far
}

// CutOneWay holds back everything that one host sends to another.
func (n *Network) CutOneWay(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[link{netip.MustParseAddr(from), netip.MustParseAddr(to)}] = true
}

// Cut holds back everything between two hosts.
func (n *Network) Cut(a, b string) {
	n.CutOneWay(a, b)
	n.CutOneWay(b, a)
}

// Heal ends all cuts.
func (n *Network) Heal() {
	n.mu.Lock()
	n.cuts = map[link]bool{}
	n.healed.Broadcast()
	pipes := n.pipesWhere(func(*pipe) bool { return true })
	n.mu.Unlock()
	for _, p := range pipes {
		p.wake()
	}
}

// Reset breaks all connections of a host, as a power failure with a quick restart
// does. It returns how many there were.
func (n *Network) Reset(host string) int {
	addr := netip.MustParseAddr(host)
	n.mu.Lock()
	pipes := n.pipesWhere(func(p *pipe) bool { return p.link.from == addr || p.link.to == addr })
	n.mu.Unlock()
	for _, p := range pipes {
		p.fail(syscall.ECONNRESET)
	}
	return len(pipes) / 2
}

// pipesWhere returns the open pipes that match. The mutex is held.
func (n *Network) pipesWhere(matches func(p *pipe) bool) []*pipe {
	var found []*pipe
	for p := range n.conns {
		if matches(p) {
			found = append(found, p)
		}
	}
	return found
}

func (n *Network) cut(l link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[l]
}

func (n *Network) remove(p *pipe) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, p)
}

// String returns the IP address of the host.
func (h *Host) String() string { return h.addr.String() }

// Address returns an address of the host with a port.
func (h *Host) Address(port int) string { return fmt.Sprint(h.addr) + ":" + strconv.Itoa(port) }
