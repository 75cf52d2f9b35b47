package forwarding

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/pkg/outcome"
)

// errEnd is the cause of a context that ended because the deadline of the call was reached.
var errEnd = errors.New("the deadline of the call has passed")

// errSlowTransfer is the cause of a context that ended because a body took too long to transfer.
var errSlowTransfer = errors.New("the transfer of the body takes too long")

// httpExchange is one request sent over one connection, and its answer.
type httpExchange struct {
	transport *http.Transport
	request   *http.Request
	body      *requestBody
	conn      *httpconn.Conn // nil until the request got a connection
	use       httpconn.Use   // of conn by this request
	sent      *httpconn.Sending
	reused    bool
	// pace limits how fast a long body is sent; nil sets no limit.
	pace *rate.Limiter
	// expectContinue is set when the other side begins nothing before it has the complete body,
	// and confirms by 100-continue that it accepts the body before that is sent.
	expectContinue bool
	// headTime bounds the time from the first byte of the answer's head to its end; zero sets no
	// bound.
	headTime time.Duration
	head     *httpconn.HeadWatch
	// interims counts the interim answers.
	interims int
	// sending is the transmission of the body; nil unless the body is long.
	sending atomic.Pointer[sending]
}

// do sends the request and returns the head of the answer. Errors are those of package outcome:
// not-run when nothing was written on any connection, or when expectContinue is set and the other
// side lacks so much of the body that it begins nothing.
func (e *httpExchange) do(ctx context.Context) (*http.Response, error) {
	response, err := e.attempt(ctx)
	stale := err != nil && e.reused && ctx.Err() == nil && outcome.Of(err) == outcome.NotRun && e.body.repeatable()
	if stale {
		response, err = e.attempt(ctx)
	}
	return response, err
}

func (e *httpExchange) attempt(ctx context.Context) (*http.Response, error) {
	e.conn, e.reused = nil, false
	sending, unsent := e.body.attach(e.request, e.pace)
	e.sending.Store(sending)
	e.sent = httpconn.NewSending(e.request, unsent)
	trace := &e.sent.Trace
	trace.GotConn, trace.Got1xxResponse = e.gotConn, e.interim
	if e.headTime > 0 {
		ctx, e.head = httpconn.WatchHead(ctx, e.headTime)
		defer e.head.End()
		trace.GotFirstResponseByte = e.head.Begun
	}
	response, err := e.transport.RoundTrip(e.request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return nil, e.classify(ctx, httpconn.NameOnly(err))
	}
	if err := httpconn.CheckAnswer(response, e.conn, e.use); err != nil {
		return nil, e.reject(response, err)
	}
	e.sent.Answered(response)
	return response, nil
}

// interim is called for each interim answer. An error ends the request.
func (e *httpExchange) interim(_ int, header textproto.MIMEHeader) error {
	e.interims++
	if e.headTime > 0 {
		if err := e.head.Interim(); err != nil {
			return err
		}
	}
	return httpconn.CheckInterim(e.interims, header, e.conn, e.use)
}

// reject returns the failure of a request whose answer is not valid for the given cause, and ends the
// use of its connection.
func (e *httpExchange) reject(response *http.Response, cause error) error {
	if e.conn != nil {
		e.conn.Retire()
	}
	_ = response.Body.Close()
	return outcome.Wrap(outcome.InvalidAnswer, cause)
}

func (e *httpExchange) gotConn(info httptrace.GotConnInfo) {
	if tracked, ok := info.Conn.(*httpconn.Conn); ok {
		e.conn, e.use, e.reused = tracked, tracked.Begin(), info.Reused
		e.sent.Begin(tracked)
	}
}

// boundTransfer aborts the request at the given time if the body has not been transferred
// completely by then: its answer would no longer have its full value, and while a part of the
// body is missing nothing has begun. The returned context ends with the response's body.
func (e *httpExchange) boundTransfer(ctx context.Context, end time.Time) (context.Context, func()) {
	if !e.expectContinue {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(time.Until(end), func() {
		if s := e.sending.Load(); s != nil && s.seal() {
			cancel(errSlowTransfer)
		}
	})
	return ctx, func() { timer.Stop() }
}

// classify returns the failure of a request that got no answer.
func (e *httpExchange) classify(ctx context.Context, err error) error {
	switch {
	case e.conn == nil || e.conn.Seal(e.use):
		return withDecision(failureBeforeStart(ctx, err), decision{evidence: NothingSent})
	case e.expectContinue && e.sending.Load().seal():
		return withDecision(failureBeforeStart(ctx, err), decision{evidence: BodyWithheld})
	case errors.Is(context.Cause(ctx), errEnd):
		return outcome.Wrap(outcome.Timeout, err)
	case e.bodyBroken():
		return outcome.Wrap(outcome.Canceled, err)
	case errors.Is(context.Cause(ctx), httpconn.ErrEndlessHead), httpconn.IsInvalidAnswer(err):
		return outcome.Wrap(outcome.InvalidAnswer, err)
	case ctx.Err() != nil:
		return outcome.Wrap(outcome.Canceled, err)
	default:
		return outcome.Wrap(outcome.ConnectionLost, err)
	}
}

// bodyBroken reports whether the body could not be read to its end.
func (e *httpExchange) bodyBroken() bool {
	s := e.sending.Load()
	return s != nil && s.broken.Load()
}

// failureBeforeStart returns the failure of a request that has not run.
func failureBeforeStart(ctx context.Context, err error) error {
	switch {
	case errors.Is(context.Cause(ctx), errSlowTransfer):
		return outcome.WithRetryAfter(outcome.Overloaded, defaultRetryAfter)
	case errors.Is(context.Cause(ctx), errEnd):
		return outcome.Wrap(outcome.DeadlineBeforeStart, err)
	case ctx.Err() != nil:
		return outcome.Wrap(outcome.CanceledBeforeStart, err)
	default:
		return outcome.Wrap(outcome.Unreachable, err)
	}
}

// newTransport returns a transport whose connections record whether anything was written.
func newTransport(dial httpconn.DialFunc, idle time.Duration, connections int) *http.Transport {
	return &http.Transport{
		DialContext:            httpconn.Track(dial, dialBound),
		DisableCompression:     true,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        idle,
		MaxResponseHeaderBytes: maximumHeaderBytes,
		ExpectContinueTimeout:  expectContinueBound,
	}
}

// newPeerTransport returns a transport to other nodes that keeps no more unused connections than
// offers are made at a time; zero sets no bound.
func newPeerTransport(dial httpconn.DialFunc, offers int) *http.Transport {
	transport := newTransport(dial, peerIdle, idleConnections)
	transport.MaxIdleConns = offers
	return transport
}

// newWorkerTransport returns a transport to a worker with the given number of slots.
func newWorkerTransport(dial httpconn.DialFunc, idle time.Duration, slots int) *http.Transport {
	connections := connectionsPerSlot * slots
	transport := newTransport(dial, idle, connections)
	transport.MaxConnsPerHost = max(connections, 1)
	return transport
}

// newRequest returns the request to forward, without its body. Target and host are forwarded as
// received.
func newRequest(from *http.Request, address string, header http.Header) *http.Request {
	return &http.Request{
		Method:     from.Method,
		URL:        httpconn.ForwardedURL(from, "http", address),
		Host:       from.Host,
		Header:     header,
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
}

// forwardedHeader returns the headers to forward, with capacity for those that are added later.
// The values are shared, not copied.
func forwardedHeader(from *http.Request, dialect *Dialect) http.Header {
	const added = 6
	header := make(http.Header, len(from.Header)+added)
	for name, values := range from.Header {
		if !httpconn.IsHopByHop(name) && !dialect.own(name) {
			header[name] = values
		}
	}
	httpconn.RemoveListed(header, from.Header)
	delete(header, "Content-Length")
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // keeps the transport from adding its own
	}
	return header
}
