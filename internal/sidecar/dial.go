package sidecar

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A machine behind a network partition does not answer, and a connection to it would hang.
// A connection fails when data stays unsent or unacknowledged for unacknowledgedTimeout, and
// an idle one when two keep-alive probes stay unanswered.
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

// setUnacknowledgedTimeout sets the time-out on a new socket, as net.Dialer.Control.
func setUnacknowledgedTimeout(_, _ string, connection syscall.RawConn) error {
	return connection.Control(func(descriptor uintptr) {
		// On a system without this option, the keep-alive probes still detect lost connections.
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	})
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
	listening := net.ListenConfig{KeepAliveConfig: keepAlive(), Control: setUnacknowledgedTimeout}
	return listening.Listen(context.Background(), "tcp", address)
}

// Dial implements Network.
func (TCP) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive(), Control: setUnacknowledgedTimeout}
	return dialer.DialContext(ctx, network, address)
}
