package dataplane

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/net/http/httpguts"

	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/pkg/contain"
)

// lingerTime is how long the unused rest of a body is still read, so that the
// caller receives the answer.
const lingerTime = time.Second

// chunkedEncoding keeps the transport from probing a body of unknown length.
var chunkedEncoding = []string{"chunked"}

// requestBody is the body of one call. A short body of declared length is read
// completely beforehand and can be sent any number of times. Any other is
// streamed, and can be sent again only while nothing of it was read.
type requestBody struct {
	request  *http.Request
	control  *http.ResponseController
	pace     pace
	buffered []byte
	streamed bool
	// panicked is called with a panic while the body is read for sending, on a goroutine of the
	// transport. It may be nil.
	panicked contain.Report
	// onStart is called before the first part of a streamed body is read. It may be nil.
	onStart func()
	// onProgress is called after each part read from a streamed body.
	onProgress func()

	started     atomic.Bool // something was read of a streamed body
	complete    atomic.Bool // the end was read
	failed      atomic.Bool // the caller disconnected or was too slow
	interrupted atomic.Bool

	mutex   sync.Mutex // held while the body is read
	closed  bool
	trailer http.Header
}

func newRequestBody(r *http.Request, control *http.ResponseController, limits *Limits, panicked contain.Report) *requestBody {
	b := &requestBody{
		request:  r,
		control:  control,
		pace:     pace{grace: limits.Grace, rate: limits.MinimumRate},
		panicked: panicked,
	}
	if r.ContentLength == 0 {
		b.complete.Store(true)
		return b
	}
	b.streamed = r.ContentLength < 0 || r.ContentLength > int64(limits.BufferedBody)
	// An answer that begins before the body has ended must not wait for it.
	_ = control.EnableFullDuplex()
	return b
}

// prepare reads a short body completely.
func (b *requestBody) prepare() error {
	if b.streamed || b.complete.Load() {
		return nil
	}
	b.buffered = make([]byte, b.request.ContentLength)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	read := 0
	for read < len(b.buffered) {
		n, err := b.readSource(b.buffered[read:])
		read += n
		if err != nil && read < len(b.buffered) {
			return err
		}
	}
	b.finish()
	return nil
}

// repeatable reports whether the body can be sent from its beginning.
func (b *requestBody) repeatable() bool { return !b.streamed || !b.started.Load() }

// attach gives the body to an outgoing request in a form that http.Transport
// cannot send twice by itself: a body that is not nil and has no GetBody.
func (b *requestBody) attach(out *http.Request) {
	switch {
	case b.streamed:
		out.ContentLength = b.request.ContentLength
		out.Trailer = b.outgoingTrailer()
		if out.ContentLength < 0 {
			out.TransferEncoding = chunkedEncoding
		}
		out.Body = &streamReader{body: b}
	case len(b.buffered) > 0:
		out.ContentLength = b.request.ContentLength
		out.Body = io.NopCloser(bytes.NewReader(b.buffered))
	case httpconn.NeedsContentLength(out.Method):
		// The transport repeats such a request only if it has an idempotency
		// key, which it looks up under its canonical name.
		out.Body = nil
		httpconn.HideIdempotencyKey(out.Header)
	default:
		out.Body = httpconn.EmptyBody{}
		out.TransferEncoding = httpconn.IdentityEncoding
	}
}

// outgoingTrailer announces the trailers that the caller announced, but for names that are no tokens:
// the transport refuses these, as if the other side could not be reached. The values are filled in at
// the end of the body.
func (b *requestBody) outgoingTrailer() http.Header {
	if len(b.request.Trailer) == 0 {
		return nil
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.trailer = make(http.Header, len(b.request.Trailer))
	for name := range b.request.Trailer {
		if forwardable(name) && httpguts.ValidHeaderFieldName(name) {
			b.trailer[name] = nil
		}
	}
	return b.trailer
}

// readSource reads from the caller within the bounds of its pace. The mutex is held.
func (b *requestBody) readSource(p []byte) (int, error) {
	remaining := b.pace.remaining()
	if remaining <= 0 {
		b.failed.Store(true)
		return 0, errTooSlow
	}
	began := time.Now()
	_ = b.control.SetReadDeadline(began.Add(remaining))
	if b.interrupted.Load() {
		b.failed.Store(true)
		return 0, errBodyClosed
	}
	n, err := b.request.Body.Read(p)
	b.pace.step(n, time.Since(began))
	if err != nil && err != io.EOF {
		b.failed.Store(true)
	}
	return n, err
}

// finish records that the end was read. The mutex is held.
func (b *requestBody) finish() {
	// From now on the server reads the connection to detect that the caller
	// disconnects; an expired deadline would look like that.
	_ = b.control.SetReadDeadline(time.Time{})
	b.complete.Store(true)
	for name := range b.trailer {
		b.trailer[name] = b.request.Trailer[name]
	}
}

// interrupt unblocks a reader that waits for the caller.
func (b *requestBody) interrupt() {
	if b.complete.Load() {
		return
	}
	b.interrupted.Store(true)
	_ = b.control.SetReadDeadline(time.Now())
}

// release ends all reading by attempts. It must be called before the handler
// returns. When an answer was written before the body had ended, answered makes
// it read on for up to lingerTime: closing a connection with unread data would
// destroy the answer on its way to a caller that is still sending.
func (b *requestBody) release(answered bool) {
	if b.complete.Load() {
		return
	}
	b.interrupt()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.closed = true
	if b.complete.Load() {
		_ = b.control.SetReadDeadline(time.Time{})
		return
	}
	if answered {
		b.linger()
	}
}

// linger flushes the answer and discards what the caller still sends. The mutex is held.
func (b *requestBody) linger() {
	if b.control.Flush() != nil {
		return
	}
	_ = b.control.SetReadDeadline(time.Now().Add(lingerTime))
	buffer := httpconn.GetBuffer()
	defer httpconn.PutBuffer(buffer)
	for {
		if _, err := b.request.Body.Read(buffer[:]); err != nil {
			return
		}
	}
}

// streamReader reads a streamed body for one attempt.
type streamReader struct {
	body   *requestBody
	closed atomic.Bool
	ended  bool
}

// Read implements io.Reader.
func (s *streamReader) Read(p []byte) (n int, err error) {
	err = contain.Read("body of a request", s.body.panicked, func() (err error) {
		n, err = s.read(p)
		return err
	})
	if errorx.IsOfType(err, contain.ErrPanic) {
		s.body.failed.Store(true)
	}
	return n, err
}

func (s *streamReader) read(p []byte) (int, error) {
	b := s.body
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.closed || s.closed.Load() {
		return 0, errBodyClosed
	}
	if s.ended {
		return 0, io.EOF
	}
	if !b.started.Swap(true) && b.onStart != nil {
		b.onStart()
	}
	n, err := b.readSource(p)
	if err == io.EOF {
		s.ended = true
		b.finish()
	}
	if n > 0 || err == io.EOF {
		b.onProgress()
	}
	return n, err
}

// Close implements io.Closer. Only another attempt can continue reading.
func (s *streamReader) Close() error {
	s.closed.Store(true)
	return nil
}

// reusable reports whether the connection can take another request after this one.
func (b *requestBody) reusable() bool { return b.complete.Load() && !b.interrupted.Load() }
