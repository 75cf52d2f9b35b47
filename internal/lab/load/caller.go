package load

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/internal/lab/worker"
	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/retry"
)

// ending is how a call ended for its caller.
type ending struct {
	kind   endingKind
	reason outcome.Reason // empty when none was given
	detail string         // the error of a call without an answer
	// retryAfter is when the caller was told to come again; zero when it was not.
	retryAfter time.Duration
}

type endingKind uint8

const (
	endingAnswered endingKind = iota
	endingNotRun
	endingUnknown
	endingWrong
)

// Reasons that the caller itself gives.
const (
	reasonNoConnection outcome.Reason = "caller: no connection"
	reasonNoAnswer     outcome.Reason = "caller: connection ended without an answer"
	reasonCutShort     outcome.Reason = "caller: answer cut short"
	reasonStatus       outcome.Reason = "caller: status is not 200"
)

// call is one request.
type call struct {
	id     string
	method string
	// target is host:port, host the Host header.
	target, host, path string
	// size is the length of the body, which is made while it is sent.
	size int64
	// pace spreads the sending of the body over this time; zero sends at once.
	pace time.Duration
	// deadline is told to the node and kept by the caller; zero for none.
	deadline time.Duration
}

const (
	callerConnections = 4096
	callerIdle        = 30 * time.Second // below what nodes and workers keep
	dialTimeout       = time.Second
	// deadlineGrace is how much longer than its deadline a caller waits for the
	// answer that tells what became of the request.
	deadlineGrace = 2 * time.Second
)

// newTransport returns the caller's side. It never sends a request again by itself,
// because the body cannot be rewound and no call is idempotent to it.
func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        callerConnections,
		MaxIdleConnsPerHost: callerConnections,
		IdleConnTimeout:     callerIdle,
		DisableCompression:  true,
	}
}

// do sends the call and checks its answer.
func (c call) do(ctx context.Context, transport http.RoundTripper) ending {
	if c.deadline > 0 {
		bounded, cancel := context.WithTimeout(ctx, c.deadline+deadlineGrace)
		defer cancel()
		ctx = bounded
	}
	digester := worker.NewDigester(c.id)
	request, err := c.request(ctx, digester)
	if err != nil {
		return ending{kind: endingNotRun, reason: reasonNoConnection}
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return endingOf(err)
	}
	defer func() { _ = response.Body.Close() }()
	return c.check(response, digester)
}

// retryAfterOf returns the time of a Retry-After header in seconds; zero without one.
func retryAfterOf(header http.Header) time.Duration {
	seconds, err := strconv.ParseUint(header.Get("Retry-After"), 10, 16)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// doThroughOverload sends the call again when it is told that it has not run for want of
// room, after the time that it is told. Any other ending stands.
func (c call) doThroughOverload(ctx context.Context, transport http.RoundTripper) ending {
	for {
		ended := c.do(ctx, transport)
		refused := ended.kind == endingNotRun && ended.reason == outcome.Overloaded && ended.retryAfter > 0
		if !refused || !sleepUntil(ctx, time.Now().Add(ended.retryAfter)) {
			return ended
		}
	}
}

func (c call) request(ctx context.Context, digester *worker.Digester) (*http.Request, error) {
	var body io.Reader
	if c.size > 0 {
		body = io.TeeReader(io.LimitReader(&filler{context: ctx, pause: c.pause()}, c.size), digester)
	}
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.target+c.path, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = c.size
	request.Host = c.host
	request.Header.Set(worker.RequestIDHeader, c.id)
	if c.deadline > 0 {
		request.Header.Set(retry.DeadlineHeader, strconv.FormatInt(c.deadline.Milliseconds(), 10))
	}
	return request, nil
}

// endingOf sorts out a call without an answer. Only a connection that was never
// made shows by itself that nothing ran.
func endingOf(err error) ending {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return ending{kind: endingNotRun, reason: reasonNoConnection}
	}
	return ending{kind: endingUnknown, reason: reasonNoAnswer, detail: err.Error()}
}

// check reads the answer and sorts it out. The digest covers the body sent by then.
func (c call) check(response *http.Response, digester *worker.Digester) ending {
	switch kind, reason := outcome.FromResponse(response.Header); kind {
	case outcome.NotRun:
		return ending{kind: endingNotRun, reason: reason, retryAfter: retryAfterOf(response.Header)}
	case outcome.Unknown:
		return ending{kind: endingUnknown, reason: reason}
	}
	if response.StatusCode != http.StatusOK {
		return ending{kind: endingUnknown, reason: reasonStatus}
	}
	err := worker.VerifyAnswer(response.Body, digester.Sum(), worker.DefaultAnswerSize)
	switch {
	case err == nil:
		return ending{kind: endingAnswered}
	case errorx.IsOfType(err, worker.ErrAnswer):
		return ending{kind: endingWrong}
	default:
		return ending{kind: endingUnknown, reason: reasonCutShort} // the caller was told so
	}
}

const pacedPart = 32 << 10

// pause returns the time before each part of a paced body.
func (c call) pause() time.Duration {
	return time.Duration(float64(c.pace) * pacedPart / float64(max(c.size, pacedPart)))
}

// filler is an endless body, sent in parts with pauses when it is paced.
type filler struct {
	context context.Context
	pause   time.Duration
}

func (f *filler) Read(part []byte) (int, error) {
	if f.pause > 0 {
		part = part[:min(len(part), pacedPart)]
		if !sleepUntil(f.context, time.Now().Add(f.pause)) {
			return 0, f.context.Err()
		}
	}
	for i := range part {
		part[i] = byte(i)
	}
	return len(part), nil
}
