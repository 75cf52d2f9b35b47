package httpconn

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// unsentBytes is how much of an answer the operating system takes ahead of what it can send: without
// a bound it takes megabytes for a peer that does not read.
const unsentBytes = 32 << 10

// BoundBuffers bounds what the operating system holds of a connection: what has arrived and is not
// read yet, in bytes, and what is not sent yet. It does nothing where the system cannot.
func BoundBuffers(conn net.Conn, receive int) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetReadBuffer(receive)
	BoundUnsent(conn)
}

// BoundBacklog bounds the connections that wait to be accepted: the operating system holds what they
// have sent. It does nothing where the system cannot.
func BoundBacklog(l net.Listener, connections int) {
	listening, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := listening.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) { _ = unix.Listen(int(descriptor), connections) })
}

// BoundUnsent bounds what the operating system holds of a connection that is not sent yet.
func BoundUnsent(conn net.Conn) {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, unsentBytes)
	})
}
