package httpconn

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// openAnswer is an answer that ends with its connection.
const openAnswer = "HTTP/1.1 200 OK\r\n\r\nwhole"

// watchedConn counts the writes that begin after the request counts as sent.
type watchedConn struct {
	net.Conn
	sending *Sending
	late    *atomic.Int64
}

// Write implements net.Conn.
func (w watchedConn) Write(p []byte) (int, error) {
	if w.sending.conn.sent.current.Load() != w.sending {
		w.late.Add(1)
	}
	return w.Conn.Write(p)
}

// streamed is a body of which the transport knows nothing but its length.
type streamed struct {
	io.Reader
	left int
}

// Read implements io.Reader.
func (s *streamed) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	s.left -= n
	return n, err
}

// Len implements Unsent.
func (s *streamed) Len() int { return s.left }

// sentForms are the forms in which a request with a body of a number of bytes is given to the transport.
var sentForms = map[string]func(r *http.Request, bytes int) Unsent{
	"none": func(r *http.Request, _ int) Unsent { return nil },
	"empty": func(r *http.Request, _ int) Unsent {
		r.Body, r.TransferEncoding = EmptyBody{}, IdentityEncoding
		return nil
	},
	"memory": func(r *http.Request, n int) Unsent {
		reader := bytes.NewReader(make([]byte, n))
		r.Body, r.ContentLength = io.NopCloser(reader), int64(n)
		return reader
	},
	"length": func(r *http.Request, n int) Unsent {
		body := &streamed{Reader: bytes.NewReader(make([]byte, n)), left: n}
		r.Body, r.ContentLength = io.NopCloser(body), int64(n)
		return body
	},
	"chunks": func(r *http.Request, n int) Unsent {
		body := &streamed{Reader: bytes.NewReader(make([]byte, n)), left: n}
		r.Body, r.ContentLength, r.TransferEncoding = io.NopCloser(body), -1, []string{"chunked"}
		return body
	},
	"trailer": func(r *http.Request, n int) Unsent {
		body := &streamed{Reader: bytes.NewReader(make([]byte, n)), left: n}
		r.Body, r.ContentLength, r.TransferEncoding = io.NopCloser(body), -1, []string{"chunked"}
		r.Trailer = http.Header{"X-Sum": {strings.Repeat("s", n%9000)}}
		return body
	},
}

// followed sends a request over a transport with one connection of the given dial function.
func followed(ctx context.Context, dial DialFunc, r *http.Request, sending *Sending) (string, error) {
	transport := &http.Transport{DialContext: Track(dial, time.Second), DisableKeepAlives: true, ExpectContinueTimeout: time.Minute}
	defer transport.CloseIdleConnections()
	sending.Trace.GotConn = func(info httptrace.GotConnInfo) {
		conn := info.Conn.(*Conn)
		conn.Begin()
		sending.Begin(conn)
	}
	response, err := transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(ctx, &sending.Trace)))
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	sending.Answered(response)
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// postWithHead returns a request with a field of a number of bytes.
func postWithHead(size int) *http.Request {
	r, _ := http.NewRequest(http.MethodPost, "http://worker/", nil)
	r.Header.Set("X-Pad", strings.Repeat("p", size))
	return r
}

// answerWhenRead answers one request once it was read to its end, its trailer included.
func answerWhenRead(l net.Listener) {
	conn, err := l.Accept()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	// A trailer is read only where the buffer has room for it.
	request, err := http.ReadRequest(bufio.NewReaderSize(conn, 32<<10))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = io.WriteString(conn, openAnswer)
}

// TestRequestCountsAsSentWithItsLastByte guards against an answer that waits for ever, or counts as whole
// too early, for requests of all sizes around the buffers of the transport.
func TestRequestCountsAsSentWithItsLastByte(t *testing.T) {
	listener := listenOnLoopback(t)
	sizes := [][2]int{{0, 1}, {0, 4 << 10}, {0, 32 << 10}, {0, 100_000}, {9000, 1}, {20_000, 100_000}}
	for near := 3700; near < 4120; near += 3 {
		sizes = append(sizes, [2]int{0, near}, [2]int{near, 1}, [2]int{4096, near})
	}
	for name, form := range sentForms {
		t.Run(name, func(t *testing.T) {
			for _, size := range sizes {
				go answerWhenRead(listener)
				r := postWithHead(size[0])
				sending := NewSending(r, form(r, size[1]))
				var late atomic.Int64
				dial := func(ctx context.Context, network, _ string) (net.Conn, error) {
					conn, err := (&net.Dialer{}).DialContext(ctx, network, listener.Addr().String())
					return watchedConn{conn, sending, &late}, err
				}
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				body, err := followed(ctx, dial, r, sending)
				cancel()
				if err != nil || body != "whole" || late.Load() != 0 || sending.conn.sent.current.Load() != nil {
					t.Fatalf("head of %d and body of %d bytes: %q, %v, %d writes after the end", size[0], size[1], body, err, late.Load())
				}
			}
		})
	}
}

// TestAnswerInPlaceOfTheBodyIsWhole guards against an answer that waits for the sending of a body that
// the other side did not ask for.
func TestAnswerInPlaceOfTheBodyIsWhole(t *testing.T) {
	for _, form := range []string{"length", "chunks"} {
		t.Run(form, func(t *testing.T) {
			listener := listenOnLoopback(t)
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, openAnswer)
				}
			}()
			r := postWithHead(0)
			r.Header.Set("Expect", "100-continue")
			sending := NewSending(r, sentForms[form](r, 1<<20))
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			dial := func(ctx context.Context, network, _ string) (net.Conn, error) {
				return (&net.Dialer{}).DialContext(ctx, network, listener.Addr().String())
			}
			if body, err := followed(ctx, dial, r, sending); err != nil || body != "whole" {
				t.Errorf("%q, %v", body, err)
			}
		})
	}
}

// TestResetAfterAnEndIsNoEnd guards against the end of an answer that is taken for whole though the other
// side has reset the connection after it, with all of the request in the buffers of the system.
func TestResetAfterAnEndIsNoEnd(t *testing.T) {
	listener := listenOnLoopback(t)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		tcp := conn.(*net.TCPConn)
		_ = tcp.SetReadBuffer(1 << 10)
		_, _ = http.ReadRequest(bufio.NewReader(tcp))
		_, _ = io.WriteString(tcp, openAnswer)
		_ = tcp.CloseWrite()
		time.Sleep(100 * time.Millisecond)
		_ = tcp.SetLinger(0)
		_ = tcp.Close()
	}()
	r := postWithHead(0)
	sending := NewSending(r, sentForms["length"](r, 1<<20))
	dial := func(ctx context.Context, network, _ string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, listener.Addr().String())
		if err == nil {
			_ = conn.(*net.TCPConn).SetWriteBuffer(4 << 20)
		}
		return conn, err
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	body, err := followed(ctx, dial, r, sending)
	if err == nil {
		t.Errorf("%q, %v", body, err)
	}
	if ctx.Err() != nil {
		t.Error("the answer was read until the deadline")
	}
}

// TestAnswerOfARequestThatIsNotTakenEndsWithItsDeadline guards against a read that waits beyond the end of
// its request for a worker that has ended its direction and reads nothing.
func TestAnswerOfARequestThatIsNotTakenEndsWithItsDeadline(t *testing.T) {
	const deadline = 300 * time.Millisecond
	for _, size := range []int{200 << 10, 32 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			listener := listenOnLoopback(t)
			done := make(chan struct{})
			defer close(done)
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_ = conn.(*net.TCPConn).SetReadBuffer(1 << 10)
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, openAnswer)
				_ = conn.(*net.TCPConn).CloseWrite()
				<-done
			}()
			r := postWithHead(0)
			sending := NewSending(r, sentForms["length"](r, size))
			dial := func(ctx context.Context, network, _ string) (net.Conn, error) {
				return (&net.Dialer{}).DialContext(ctx, network, listener.Addr().String())
			}
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			began := time.Now()
			body, err := followed(ctx, dial, r, sending)
			if err == nil || time.Since(began) > 10*deadline {
				t.Errorf("%q, %v after %v", body, err, time.Since(began))
			}
		})
	}
}
