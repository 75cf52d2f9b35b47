package sidecar

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A machine behind a cut says nothing, and a connection to it would hang. Unsent
// data gives up after unacknowledgedTimeout, and a silent connection after two probes.
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

// setUnacknowledgedTimeout is a control function for sockets.
func setUnacknowledgedTimeout(_, _ string, connection syscall.RawConn) error {
	return connection.Control(func(descriptor uintptr) {
		// Where the system does not know the option, the probes remain.
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	})
}

// Network is what a node listens and dials on.
type Network interface {
	// Listen opens an IP:port.
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
