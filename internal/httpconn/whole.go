package httpconn

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// maximumMemoryBody is up to how many bytes a body is read into memory: the transport writes one of a
// bytes.Reader together with the head.
const maximumMemoryBody = 64 << 10

// wholeAnswers is a RoundTripper that fails the reading of an answer that ends with its connection and is
// not known to be whole, with an ErrCut. The connections of the next one must be of Track. Where they are
// encrypted, no such answer is known to be whole.
type wholeAnswers struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (w wholeAnswers) RoundTrip(r *http.Request) (*http.Response, error) {
	f := &followedRequest{}
	trace := &httptrace.ClientTrace{GotConn: f.gotConn, WroteHeaders: f.wroteHeaders, WroteRequest: f.wroteRequest}
	f.request = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	if err := f.followBody(r); err != nil {
		return nil, err
	}
	response, err := w.next.RoundTrip(f.request)
	if err != nil {
		return nil, err
	}
	if s := f.attempt.Load(); s != nil {
		s.Answered(response)
	}
	return response, nil
}

// followedRequest is a request that the transport may send again by itself, on another connection.
type followedRequest struct {
	request *http.Request
	body    Unsent // nil for a request without one
	// attempt is the latest one; nil until there is a connection.
	attempt atomic.Pointer[Sending]
}

// followBody gives the request a body that tells what is left of it.
func (f *followedRequest) followBody(r *http.Request) error {
	switch {
	case r.Body == nil || r.Body == http.NoBody:
		return nil
	case r.ContentLength > 0 && r.ContentLength <= maximumMemoryBody:
		return f.holdBody(r)
	}
	f.request.Body = f.count(r.Body)
	if r.GetBody != nil {
		f.request.GetBody = func() (io.ReadCloser, error) {
			body, err := r.GetBody()
			if err != nil {
				return nil, err
			}
			return f.count(body), nil
		}
	}
	return nil
}

// holdBody reads a short body into memory.
func (f *followedRequest) holdBody(r *http.Request) error {
	content := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, content)
	_ = r.Body.Close()
	if err != nil {
		return err
	}
	open := func() (io.ReadCloser, error) {
		reader := bytes.NewReader(content)
		f.body = reader
		return io.NopCloser(reader), nil
	}
	f.request.Body, _ = open()
	if r.GetBody != nil {
		f.request.GetBody = open
	}
	return nil
}

func (f *followedRequest) count(body io.ReadCloser) io.ReadCloser {
	counted := newCountedBody(body, f.request.ContentLength)
	f.body = counted
	return counted
}

func (f *followedRequest) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*Conn)
	if !ok {
		return
	}
	s := NewSending(f.request, f.body)
	f.attempt.Store(s)
	s.Begin(conn)
}

// wroteHeaders is called by the goroutine that writes an attempt, which may be an earlier one: nothing
// but a head of several writes tells them apart.
func (f *followedRequest) wroteHeaders() {
	if s := f.attempt.Load(); s != nil && s.body == nil {
		s.wroteHead()
	}
}

// wroteRequest is called like wroteHeaders.
func (f *followedRequest) wroteRequest(info httptrace.WroteRequestInfo) {
	if s := f.attempt.Load(); s != nil && s.chunked {
		s.wroteRequest(info)
	}
}

// countedBody is a body that counts what is left of it.
type countedBody struct {
	io.ReadCloser
	// known is set when the length of the body is known.
	known bool
	left  atomic.Int64
}

func newCountedBody(body io.ReadCloser, length int64) *countedBody {
	const unknown = 1
	b := &countedBody{ReadCloser: body, known: length > 0}
	b.left.Store(unknown)
	if b.known {
		b.left.Store(length)
	}
	return b
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case b.known:
		b.left.Add(-int64(n))
	case err == io.EOF:
		b.left.Store(0)
	}
	return n, err
}

// Len implements Unsent. A body whose length is not known counts as one byte up to its end.
func (b *countedBody) Len() int { return int(b.left.Load()) }
