package dataplane

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"time"

	"github.com/levertide/levertide/pkg/outcome"
)

// handshakeTime bounds the handshake of a caller.
const handshakeTime = 10 * time.Second

// malformedResponse is written when a request is refused before it was parsed.
const malformedResponse = "HTTP/1.1 400 Bad Request\r\n" +
	"Content-Type: text/plain; charset=utf-8\r\n" +
	"Content-Length: 0\r\n" +
	outcome.Header + ": " + string(outcome.NotRun) + "\r\n" +
	outcome.ReasonHeader + ": " + string(outcome.Malformed) + "\r\n" +
	"Connection: close\r\n\r\n"

// CheckedListener wraps a listener for callers. Its connections refuse requests
// whose length can be read in more than one way, which net/http lets pass. If
// the listener is one of crypto/tls, wrap it, not what is below it.
func CheckedListener(inner net.Listener) net.Listener { return checkedListener{inner} }

type checkedListener struct{ net.Listener }

// Accept implements net.Listener.
func (l checkedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if encrypted, ok := conn.(*tls.Conn); ok {
		return &checkedTLSConn{checkedConn: checkedConn{Conn: conn}, encrypted: encrypted}, nil
	}
	return &checkedConn{Conn: conn}, nil
}

// checkedConn follows what is read. The server reads from one goroutine at a time.
type checkedConn struct {
	net.Conn
	check  framingCheck
	broken bool
}

// Read implements net.Conn.
func (c *checkedConn) Read(p []byte) (int, error) {
	if c.broken {
		return 0, io.EOF
	}
	between := c.check.between()
	n, err := c.Conn.Read(p)
	if n > 0 && !c.check.feed(p[:n]) {
		c.refuse(between && len(p) > 1)
		return 0, io.EOF
	}
	return n, err
}

// refuse ends the connection. It answers only when no other request is being
// served on it: while one is, the server reads the body, or a single byte.
func (c *checkedConn) refuse(answer bool) {
	c.broken = true
	if !answer {
		return
	}
	_ = c.SetWriteDeadline(time.Now().Add(failureTime))
	_, _ = io.WriteString(c.Conn, malformedResponse)
}

// checkedTLSConn lets the server see the state of the encrypted connection.
type checkedTLSConn struct {
	checkedConn
	encrypted *tls.Conn
}

// ConnectionState completes the handshake and returns the state of the
// connection. The server calls it before the first request.
func (c *checkedTLSConn) ConnectionState() tls.ConnectionState {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTime)
	defer cancel()
	_ = c.encrypted.HandshakeContext(ctx) // the first read reports the error
	return c.encrypted.ConnectionState()
}
