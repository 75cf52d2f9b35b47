package forwarding

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/levertide/levertide/internal/httpleg"
	"github.com/levertide/levertide/pkg/outcome"
)

// linkPace returns the pace at which this node sends long bodies to other nodes; nil
// when it does not know its link.
func linkPace(bitsPerSecond float64) *rate.Limiter {
	if bitsPerSecond <= 0 {
		return nil
	}
	const bitsPerByte = 8
	return rate.NewLimiter(rate.Limit(bitsPerSecond/bitsPerByte), pacedPart)
}

// chunkedEncoding keeps the transport from probing a body of unknown length.
var chunkedEncoding = []string{"chunked"}

// requestBody is the body of one call. One of up to bufferedBody bytes is held
// whole and can be sent any number of times. A longer one is held up to there
// and streamed from then on, and can be sent once.
type requestBody struct {
	held   []byte
	rest   io.Reader // nil when the whole body is held
	length int64     // -1 when it is not known
	// sent is set once anything of the body was taken to be sent.
	sent atomic.Bool
}

// bodyMemory counts the bytes of the bodies that a node holds.
type bodyMemory struct{ used atomic.Int64 }

// reserve takes memory for a body; it reports false when there is too little.
func (m *bodyMemory) reserve(bytes int64) bool {
	if m.used.Add(bytes) > maximumBodyBytes {
		m.used.Add(-bytes)
		return false
	}
	return true
}

func (m *bodyMemory) release(bytes int64) { m.used.Add(-bytes) }

// holdBody reads the body of a request within the memory for bodies. Give it back
// with releaseBody. Errors are those of package outcome.
func (p *Plane) holdBody(w http.ResponseWriter, r *http.Request, limit int64, end time.Time) (*requestBody, error) {
	reserved := min(max(r.ContentLength, 0), bufferedBody)
	if !p.memory.reserve(reserved) {
		return nil, outcome.WithRetryAfter(outcome.Overloaded, defaultRetryAfter)
	}
	body, err := readBody(w, r, limit, end)
	if err != nil {
		p.memory.release(reserved)
		return nil, err
	}
	p.memory.used.Add(int64(len(body.held)) - reserved)
	return body, nil
}

// releaseBody gives the memory of a body back; nil is none.
func (p *Plane) releaseBody(body *requestBody) {
	if body != nil {
		p.memory.release(int64(len(body.held)))
	}
}

// readBody reads the body of a request, up to what is held, until the given end.
// Errors are those of package outcome; nothing of the call has run.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, end time.Time) (*requestBody, error) {
	if r.ContentLength == 0 {
		return &requestBody{}, nil
	}
	if limit > 0 && r.ContentLength > limit {
		return nil, outcome.New(outcome.TooLarge)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(end)
	body := &requestBody{length: r.ContentLength}
	held, whole, err := readHead(r.Body, r.ContentLength)
	if err != nil {
		return nil, outcome.Wrap(outcome.BodyNotReceived, err)
	}
	body.held = held
	if !whole {
		body.rest = r.Body
		// An answer that begins before the body has ended must not wait for it.
		_ = control.EnableFullDuplex()
		return body, nil
	}
	body.length = int64(len(held))
	// A deadline would look like a caller that left.
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// readHead reads up to bufferedBody bytes, and tells whether that was all.
func readHead(source io.Reader, length int64) (held []byte, whole bool, err error) {
	if length > 0 && length <= bufferedBody {
		held = make([]byte, length)
		if _, err = io.ReadFull(source, held); err != nil {
			return nil, false, err
		}
		// The end must have been seen, too, for the server to watch the caller.
		_, err = source.Read(make([]byte, 1))
		if err == io.EOF {
			err = nil
		}
		return held, true, err
	}
	var buffer bytes.Buffer
	count, err := io.CopyN(&buffer, source, bufferedBody)
	if err == io.EOF {
		return buffer.Bytes(), true, nil
	}
	return buffer.Bytes(), count < bufferedBody, err
}

// repeatable reports whether the body can be sent from its beginning.
func (b *requestBody) repeatable() bool { return b.rest == nil || !b.sent.Load() }

// long reports whether the body is worth a question before it is sent to another node.
func (b *requestBody) long() bool { return b.rest != nil || len(b.held) >= expectContinueBody }

// sending is the body on its way over one connection.
type sending struct {
	body *requestBody

	mu     sync.Mutex
	source io.Reader
	// left is how much of the body was not taken yet, in bytes; -1 when the other
	// side may begin before it has all of it.
	left  int
	begun bool
	// sealed tells that nothing more of the body will be taken.
	sealed bool
	// pace bounds how fast the body is taken; nil sets no bound.
	pace *rate.Limiter
}

// Read implements io.Reader.
func (s *sending) Read(p []byte) (int, error) {
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
	return n, err
}

// seal keeps the body from being sent any more. It reports whether the other side
// lacks so much of it that it begins nothing: all, or, of a body that is held whole
// there first, any part.
func (s *sending) seal() bool {
	if !s.mu.TryLock() {
		return false // it is being taken just now
	}
	defer s.mu.Unlock()
	if !s.begun || s.left > 0 {
		s.sealed = true
	}
	return s.sealed
}

// attach gives the body to an outgoing request in a form that http.Transport
// cannot send twice by itself: a body that is there and has no GetBody. It returns
// a long body on its way, at the given pace; nil for others.
func (b *requestBody) attach(out *http.Request, pace *rate.Limiter) *sending {
	switch {
	case b.rest != nil:
		out.ContentLength = b.length
		if b.length < 0 {
			out.TransferEncoding = chunkedEncoding
		}
		return b.send(out, io.MultiReader(bytes.NewReader(b.held), b.rest), -1, pace)
	case len(b.held) > 0:
		out.ContentLength = int64(len(b.held))
		if b.long() {
			return b.send(out, bytes.NewReader(b.held), len(b.held), pace)
		}
		// The transport writes a reader of this kind together with the head.
		out.Body = io.NopCloser(bytes.NewReader(b.held))
	case httpleg.NeedsContentLength(out.Method):
		out.Body = nil
		httpleg.HideIdempotencyKey(out.Header)
	default:
		out.Body = httpleg.EmptyBody{}
		out.TransferEncoding = httpleg.IdentityEncoding
	}
	return nil
}

func (b *requestBody) send(out *http.Request, source io.Reader, left int, pace *rate.Limiter) *sending {
	s := &sending{source: source, body: b, left: left, pace: pace}
	out.Body = io.NopCloser(s)
	return s
}
