package sidecar

import (
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// TestConnectionToAPausingWorkerIsNotEnded guards against an upload that is lost since its worker is alive
// and does not read for some seconds.
func TestConnectionToAPausingWorkerIsNotEnded(t *testing.T) {
	listener, err := TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	conn, err := TCP{}.Dial(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if bound := unacknowledgedBound(t, conn); bound != 0 {
		t.Errorf("the connection ends once data is unread for %d ms", bound)
	}
}

// unacknowledgedBound returns for how many milliseconds data may stay unsent; zero means any time.
func unacknowledgedBound(t *testing.T, conn net.Conn) int {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var bound int
	var optionErr error
	err = raw.Control(func(descriptor uintptr) {
		bound, optionErr = unix.GetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	})
	if err != nil || optionErr != nil {
		t.Fatal(err, optionErr)
	}
	return bound
}

// TestEndsOnOneMachineAreRecognized guards against the opposite: a connection to a machine that is cut off
// must not hang.
func TestEndsOnOneMachineAreRecognized(t *testing.T) {
	for _, c := range []struct {
		local, remote string
		want          bool
	}{
		{"10.0.0.1:4000", "10.0.0.1:80", true},
		{"10.0.0.1:4000", "10.0.0.2:80", false},
		{"127.0.0.1:4000", "127.0.0.9:80", true},
		{"[::1]:4000", "[::1]:80", true},
		{"[::ffff:10.0.0.1]:4000", "10.0.0.1:80", true},
		{"127.0.0.1:4000", "10.0.0.2:80", false},
		{"pipe", "pipe", false},
	} {
		if got := onOneMachine(address(c.local), address(c.remote)); got != c.want {
			t.Errorf("%s and %s: %t", c.local, c.remote, got)
		}
	}
}

type address string

func (address) Network() string  { return "tcp" }
func (a address) String() string { return string(a) }
