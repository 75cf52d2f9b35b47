package forwarding

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/time/rate"

	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/internal/intake"
	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/outcome"
)

// linkPace returns a limiter for the rate at which this node sends long bodies to other nodes;
// nil when the speed of its link is not known.
func linkPace(bitsPerSecond float64) *rate.Limiter {
	if bitsPerSecond <= 0 {
		return nil
	}
	const bitsPerByte = 8
	return rate.NewLimiter(rate.Limit(bitsPerSecond/bitsPerByte), pacedPart)
}

// bodyName names the bodies of requests in panics.
const bodyName = "body of a request"

// chunkedEncoding prevents the transport from probing a body of unknown length.
var chunkedEncoding = []string{"chunked"}

// requestBody is the body of one call. A body of up to bufferedBody bytes is buffered completely
// and can be sent any number of times. Of a longer one, that many bytes are buffered and the rest
// is streamed; it can be sent once.
type requestBody struct {
	held   []byte
	rest   io.Reader // nil when the body is buffered completely
	length int64     // -1 when it is not known
	// panicked is called with a panic while the body is read for sending, on a goroutine of the
	// transport. It may be nil.
	panicked contain.Report
	// sent is set once any part of the body was read for sending.
	sent atomic.Bool
}

// holdBody reads the part of a request's body that is buffered, until the given end, into memory of
// the request. Errors are those of package outcome; nothing of the call has run.
func holdBody(w http.ResponseWriter, r *http.Request, limit int64, end time.Time) (*requestBody, error) {
	if r.ContentLength == 0 {
		return &requestBody{}, nil
	}
	if limit > 0 && r.ContentLength > limit {
		return nil, outcome.New(outcome.TooLarge)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(end)
	// The server watches for the caller to leave only after the end of the body was read.
	rest := r.Body
	if limit > 0 && r.ContentLength < 0 {
		rest = &limitedBody{ReadCloser: r.Body, left: limit}
	}
	held, complete, err := intake.FromContext(r.Context()).ReadUpTo(r.Context(), rest, r.ContentLength, bufferedBody)
	switch {
	case errorx.IsOfType(err, intake.ErrFull):
		return nil, outcome.WithRetryAfter(outcome.Overloaded, fullRetryAfter)
	case errors.Is(err, errBodyTooLong):
		return nil, outcome.New(outcome.TooLarge)
	case err != nil:
		return nil, outcome.Wrap(outcome.BodyNotReceived, err)
	case !complete:
		// An answer that begins before the body has ended must not wait for the rest of it.
		_ = control.EnableFullDuplex()
		return &requestBody{held: held, rest: rest, length: r.ContentLength}, nil
	}
	// Clear the deadline: when it passed, the server would report that the caller has left.
	_ = control.SetReadDeadline(time.Time{})
	return &requestBody{held: held, length: int64(len(held))}, nil
}

// errBodyTooLong ends a body of unknown length that is larger than the operators allow.
var errBodyTooLong = errors.New("the body is longer than the configuration allows")

// limitedBody is a body of unknown length that may have so many more bytes.
type limitedBody struct {
	io.ReadCloser
	left int64
}

// Read implements io.Reader. Nothing beyond the limit is returned.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.left+1)])
	if int64(n) > b.left {
		n, b.left = int(b.left), 0
		return n, errBodyTooLong
	}
	b.left -= int64(n)
	return n, err
}

// repeatable reports whether the body can be sent from its beginning.
func (b *requestBody) repeatable() bool { return b.rest == nil || !b.sent.Load() }

// long reports whether the body is long enough to ask another node for permission before it is
// sent there.
func (b *requestBody) long() bool { return b.rest != nil || len(b.held) >= expectContinueBody }

// sending is the transmission of a body over one connection.
type sending struct {
	body *requestBody

	mu     sync.Mutex
	source io.Reader
	// left is how many bytes of the body were not read for sending yet; -1 when the other side
	// may begin before it has received all of it.
	left  int
	begun bool
	// unread is what Len returns.
	unread int64
	// sealed is set when nothing more of the body will be sent.
	sealed bool
	// broken is set when the rest of the body cannot be read: its sender has failed, and neither the
	// receiver nor the connection to it.
	broken atomic.Bool
	// pace limits how fast the body is sent; nil sets no limit.
	pace *rate.Limiter
}

// Read implements io.Reader.
func (s *sending) Read(p []byte) (n int, err error) {
	err = contain.Read(bodyName, s.body.panicked, func() (err error) {
		n, err = s.read(p)
		return err
	})
	if errorx.IsOfType(err, contain.ErrPanic) {
		s.broken.Store(true)
	}
	return n, err
}

func (s *sending) read(p []byte) (int, error) {
	if s.pace != nil {
		p = p[:min(len(p), pacedPart)]
		time.Sleep(s.pace.ReserveN(time.Now(), len(p)).Delay())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sealed {
		return 0, io.ErrClosedPipe
	}
	s.begun = true
	s.body.sent.Store(true)
	n, err := s.source.Read(p)
	if s.left >= 0 {
		s.left -= n
	}
	s.count(n, err)
	if err != nil && err != io.EOF {
		s.broken.Store(true)
	}
	return n, err
}

// count records that bytes, or the end, of the body were read.
func (s *sending) count(n int, err error) {
	switch {
	case s.body.length >= 0:
		s.unread -= int64(n)
	case err == io.EOF:
		s.unread = 0
	}
}

// Len implements httpconn.Unsent. A body whose length is not known counts as one byte up to its end.
func (s *sending) Len() int { return int(s.unread) }

// seal prevents the body from being sent any further. It reports whether the other side lacks so
// much of it that it begins nothing: all of it, or any part of a body that the other side buffers
// completely before it begins.
func (s *sending) seal() bool {
	if !s.mu.TryLock() {
		return false // the body is being read right now
	}
	defer s.mu.Unlock()
	if !s.begun || s.left > 0 {
		s.sealed = true
	}
	return s.sealed
}

// attach sets the body of an outgoing request in a form that http.Transport cannot send twice by
// itself: a non-nil body without GetBody. For a long body it returns the transmission, limited to
// the given pace; otherwise nil. unsent is the body that the transport reads, nil if there is none.
func (b *requestBody) attach(out *http.Request, pace *rate.Limiter) (s *sending, unsent httpconn.Unsent) {
	switch {
	case b.rest != nil:
		out.ContentLength = b.length
		if b.length < 0 {
			out.TransferEncoding = chunkedEncoding
		}
		s = b.send(out, io.MultiReader(bytes.NewReader(b.held), b.rest), -1, pace)
		return s, s
	case len(b.held) > 0:
		out.ContentLength = int64(len(b.held))
		if b.long() {
			s = b.send(out, bytes.NewReader(b.held), len(b.held), pace)
			return s, s
		}
		// The transport writes the body of a reader of this kind together with the head.
		reader := bytes.NewReader(b.held)
		out.Body = io.NopCloser(reader)
		return nil, reader
	case httpconn.NeedsContentLength(out.Method):
		out.Body = nil
		httpconn.HideIdempotencyKey(out.Header)
	default:
		out.Body = httpconn.EmptyBody{}
		out.TransferEncoding = httpconn.IdentityEncoding
	}
	return nil, nil
}

func (b *requestBody) send(out *http.Request, source io.Reader, left int, pace *rate.Limiter) *sending {
	const unknown = 1
	s := &sending{source: source, body: b, left: left, unread: unknown, pace: pace}
	if b.length >= 0 {
		s.unread = b.length
	}
	out.Body = io.NopCloser(s)
	return s
}
