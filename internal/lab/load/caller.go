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

// callResult is the result of a call as its caller sees it.
type callResult struct {
	kind   resultKind
	reason outcome.Reason // empty when none is known
	detail string         // error text of a call without an answer
	// retryAfter is the delay of the Retry-After header; zero without one.
	retryAfter time.Duration
}

type resultKind uint8

const (
	resultAnswered resultKind = iota
	resultNotRun
	resultUnknown
	resultWrong
)

// Reasons that the lab's caller reports itself, without an answer that names one.
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
	// size is the length of the body in bytes; the body is generated while it is sent.
	size int64
	// pace is the time over which the body is sent; zero sends it as fast as possible.
	pace time.Duration
	// deadline is sent to the node and also enforced by the caller; zero for none.
	deadline time.Duration
}

const (
	callerConnections = 4096
	callerIdleTimeout = 30 * time.Second // shorter than the idle timeouts of nodes and workers
	dialTimeout       = time.Second
	// deadlineGrace is how long past its deadline a caller waits for the answer that
	// reports the outcome of the request.
	deadlineGrace = 2 * time.Second
)

// newTransport returns the HTTP transport of callers. It never retries a request by itself,
// because bodies cannot be rewound and it treats no call as idempotent.
func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        callerConnections,
		MaxIdleConnsPerHost: callerConnections,
		IdleConnTimeout:     callerIdleTimeout,
		DisableCompression:  true,
	}
}

// do sends the call and verifies its answer.
func (c call) do(ctx context.Context, transport http.RoundTripper) callResult {
	if c.deadline > 0 {
		bounded, cancel := context.WithTimeout(ctx, c.deadline+deadlineGrace)
		defer cancel()
		ctx = bounded
	}
	digester := worker.NewDigester(c.id)
	request, err := c.request(ctx, digester)
	if err != nil {
		return callResult{kind: resultNotRun, reason: reasonNoConnection}
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return resultOfError(err)
	}
	defer func() { _ = response.Body.Close() }()
	return c.check(response, digester)
}

// retryAfterOf returns the delay of a Retry-After header, which is in seconds; zero without one.
func retryAfterOf(header http.Header) time.Duration {
	seconds, err := strconv.ParseUint(header.Get("Retry-After"), 10, 16)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// doRetryingOverload retries a call that was refused as not run because of overload, after the
// delay that the refusal names. Any other result is final.
func (c call) doRetryingOverload(ctx context.Context, transport http.RoundTripper) callResult {
	for {
		ended := c.do(ctx, transport)
		refused := ended.kind == resultNotRun && ended.reason == outcome.Overloaded && ended.retryAfter > 0
		if !refused || !sleepUntil(ctx, time.Now().Add(ended.retryAfter)) {
			return ended
		}
	}
}

func (c call) request(ctx context.Context, digester *worker.Digester) (*http.Request, error) {
	var body io.Reader
	if c.size > 0 {
		body = io.TeeReader(io.LimitReader(&patternReader{context: ctx, pause: c.pause()}, c.size), digester)
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

// resultOfError classifies a call without an answer. Only a failed dial proves that the
// request did not run.
func resultOfError(err error) callResult {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return callResult{kind: resultNotRun, reason: reasonNoConnection}
	}
	return callResult{kind: resultUnknown, reason: reasonNoAnswer, detail: err.Error()}
}

// check reads and classifies the answer. The digest covers the part of the body that has been
// sent by then.
func (c call) check(response *http.Response, digester *worker.Digester) callResult {
	switch kind, reason := outcome.FromResponse(response.Header); kind {
	case outcome.NotRun:
		return callResult{kind: resultNotRun, reason: reason, retryAfter: retryAfterOf(response.Header)}
	case outcome.Unknown:
		return callResult{kind: resultUnknown, reason: reason}
	}
	if response.StatusCode != http.StatusOK {
		return callResult{kind: resultUnknown, reason: reasonStatus}
	}
	err := worker.VerifyAnswer(response.Body, digester.Sum(), worker.DefaultAnswerSize)
	switch {
	case err == nil:
		return callResult{kind: resultAnswered}
	case errorx.IsOfType(err, worker.ErrAnswer):
		return callResult{kind: resultWrong}
	default:
		return callResult{kind: resultUnknown, reason: reasonCutShort} // the broken answer shows the caller that it is incomplete
	}
}

const pacedPartBytes = 32 << 10

// pause returns the delay before each part of a paced body.
func (c call) pause() time.Duration {
	return time.Duration(float64(c.pace) * pacedPartBytes / float64(max(c.size, pacedPartBytes)))
}

// patternReader generates an endless body, in parts with a pause before each when it is paced.
type patternReader struct {
	context context.Context
	pause   time.Duration
}

func (f *patternReader) Read(part []byte) (int, error) {
	if f.pause > 0 {
		part = part[:min(len(part), pacedPartBytes)]
		if !sleepUntil(f.context, time.Now().Add(f.pause)) {
			return 0, f.context.Err()
		}
	}
	for i := range part {
		part[i] = byte(i)
	}
	return len(part), nil
}
