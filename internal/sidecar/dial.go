package sidecar

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/levertide/levertide/internal/httpleg"
)

// A machine behind a cut says nothing, and a connection to it would hang. Unsent
// data gives up after unansweredBound, and a silent connection after two probes.
const (
	dialTimeout       = time.Second
	unansweredBound   = 1500 * time.Millisecond
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}
}

// boundUnanswered is a control function for sockets.
func boundUnanswered(_, _ string, connection syscall.RawConn) error {
	return connection.Control(func(descriptor uintptr) {
		// Where the system does not know the option, the probes remain.
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unansweredBound.Milliseconds()))
	})
}

func newDialer() httpleg.DialFunc {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive(), Control: boundUnanswered}
	return dialer.DialContext
}

func newListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAlive(), Control: boundUnanswered}
}
