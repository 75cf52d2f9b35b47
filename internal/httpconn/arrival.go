package httpconn

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// receiver is a connection that tells by itself for how long what it has received lies unread.
type receiver interface {
	SinceReceived() time.Duration
}

// SinceReceived returns how long ago the last bytes came on a connection from which nothing has been
// read yet. It returns zero when none have come, and where the system does not tell.
func SinceReceived(conn net.Conn) time.Duration {
	switch conn := conn.(type) {
	case receiver:
		return conn.SinceReceived()
	case syscall.Conn:
		return sinceReceived(conn)
	}
	return 0
}

func sinceReceived(conn syscall.Conn) time.Duration {
	info, ok := tcpInfo(conn)
	if !ok || info.Bytes_received == 0 {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}

// tcpInfo returns what the system tells of a connection; false where it tells nothing.
func tcpInfo(conn syscall.Conn) (*unix.TCPInfo, bool) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, false
	}
	var info *unix.TCPInfo
	err = raw.Control(func(descriptor uintptr) {
		info, _ = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info, err == nil && info != nil
}
