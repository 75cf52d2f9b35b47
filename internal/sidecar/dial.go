package sidecar

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A machine behind a network partition does not answer, and a connection to it would hang.
// A connection to another machine fails when data stays unsent or unacknowledged for
// unacknowledgedTimeout, and an idle one when two keep-alive probes stay unanswered. On one machine
// nothing comes between the two ends: data stays unsent there only while the other process is alive and
// does not read, as a worker that pauses within a long body.
const (
	dialTimeout           = time.Second
	unacknowledgedTimeout = 1500 * time.Millisecond
	keepAliveIdle         = time.Second
	keepAliveInterval     = time.Second
	keepAliveProbes       = 2
)

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}
}

// setUnacknowledgedTimeout sets the time-out on a connection to another machine.
func setUnacknowledgedTimeout(conn net.Conn) {
	tcp, ok := conn.(syscall.Conn)
	if !ok || onOneMachine(conn.LocalAddr(), conn.RemoteAddr()) {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	// On a system without this option, the keep-alive probes still detect lost connections.
	_ = raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	})
}

// onOneMachine reports whether both ends of a connection are on the same machine.
func onOneMachine(local, remote net.Addr) bool {
	from, localErr := netip.ParseAddrPort(local.String())
	to, remoteErr := netip.ParseAddrPort(remote.String())
	if localErr != nil || remoteErr != nil {
		return false
	}
	a, b := from.Addr().Unmap(), to.Addr().Unmap()
	return a == b || a.IsLoopback() && b.IsLoopback()
}

// Network opens the listeners and connections of a node.
type Network interface {
	// Listen opens a listener on an IP:port.
	Listen(address string) (net.Listener, error)
	// Dial opens a connection, as net.Dialer does.
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

// TCP is the Network of the operating system.
type TCP struct{}

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) {
	listening := net.ListenConfig{KeepAliveConfig: keepAlive()}
	return listening.Listen(context.Background(), "tcp", address)
}

// Dial implements Network.
func (TCP) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive()}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	setUnacknowledgedTimeout(conn)
	return conn, nil
}
