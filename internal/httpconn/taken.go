package httpconn

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// firstTakenPause and longestTakenPause are the pauses between two questions whether the other side
	// has taken what was written: the system tells nobody when it has.
	firstTakenPause   = time.Millisecond
	longestTakenPause = 20 * time.Millisecond
)

// awaitTaken returns once the other side, which has ended its direction of the connection, has
// acknowledged all that was written. An error tells of a reset, or that the connection was closed
// meanwhile. Where the system does not tell, there is none.
func (c *Conn) awaitTaken() error {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	pause := firstTakenPause
	for {
		info, ok := tcpInfo(conn)
		switch {
		case c.sent.closed.Load():
			return net.ErrClosed
		case !ok:
			return nil
		case info.State == unix.BPF_TCP_CLOSE:
			// One that the other side has ended in order waits for the close of this one.
			return unix.ECONNRESET
		case info.Unacked == 0 && info.Notsent_bytes == 0:
			return nil
		}
		time.Sleep(pause)
		pause = min(2*pause, longestTakenPause)
	}
}
