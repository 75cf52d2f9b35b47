package dataplane

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"time"

	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/pkg/outcome"
)

// roundTrip sends one request to another node or to the worker.
type roundTrip struct {
	transport *http.Transport
	request   *http.Request
	body      *requestBody
	relay     *informationalRelay
	// headTime bounds the time from the first byte of the answer's head to its end; zero sets no
	// bound.
	headTime time.Duration

	conn   *httpconn.Conn // nil until the request got a connection
	use    httpconn.Use   // of conn by this request
	reused bool
	// interims counts the interim answers.
	interims int
}

// do sends the request and returns the head of the answer. Errors are those of
// package outcome: not-run when nothing was written on any connection.
func (r *roundTrip) do(ctx context.Context) (*http.Response, error) {
	response, err := r.sendOnce(ctx)
	if err != nil && r.metStaleConnection(ctx, err) {
		response, err = r.sendOnce(ctx)
	}
	return response, err
}

func (r *roundTrip) sendOnce(ctx context.Context) (*http.Response, error) {
	r.conn, r.reused = nil, false
	r.body.attach(r.request)
	ctx, head := httpconn.WatchHead(ctx, r.headTime)
	defer head.End()
	interim := func(code int, header textproto.MIMEHeader) error {
		r.interims++
		if err := head.Interim(); err != nil {
			return err
		}
		if err := httpconn.CheckInterim(r.interims, header, r.conn, r.use); err != nil {
			return err
		}
		return r.relay.relay(code, header)
	}
	trace := &httptrace.ClientTrace{GotConn: r.gotConn, GotFirstResponseByte: head.Begun, Got1xxResponse: interim}
	response, err := r.transport.RoundTrip(r.request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return nil, r.classify(ctx, httpconn.NameOnly(err))
	}
	if err := httpconn.CheckAnswer(response, r.conn, r.use); err != nil {
		return nil, r.reject(response, err)
	}
	return response, nil
}

// reject returns the failure of a request whose answer is not valid for the given cause, and ends the
// use of its connection.
func (r *roundTrip) reject(response *http.Response, cause error) error {
	if r.conn != nil {
		r.conn.Retire()
	}
	_ = response.Body.Close()
	return outcome.Wrap(outcome.InvalidAnswer, cause)
}

func (r *roundTrip) gotConn(info httptrace.GotConnInfo) {
	tracked, ok := info.Conn.(*httpconn.Conn)
	if !ok {
		return
	}
	r.conn, r.use, r.reused = tracked, tracked.Begin(), info.Reused
}

// metStaleConnection reports whether a reused connection turned out to be closed
// before anything was written on it.
func (r *roundTrip) metStaleConnection(ctx context.Context, err error) bool {
	return r.reused && ctx.Err() == nil && outcome.Of(err) == outcome.NotRun && r.body.repeatable()
}

// classify returns the failure of a request that got no answer.
func (r *roundTrip) classify(ctx context.Context, err error) error {
	nothingWritten := r.conn == nil || r.conn.Seal(r.use)
	if nothingWritten {
		return outcome.Wrap(r.reasonBeforeStart(ctx), err)
	}
	return outcome.Wrap(r.reasonAfterStart(ctx, err), err)
}

func (r *roundTrip) reasonBeforeStart(ctx context.Context) outcome.Reason {
	switch {
	case errors.Is(context.Cause(ctx), errDeadline):
		return outcome.DeadlineBeforeStart
	case r.body.failed.Load():
		return outcome.BodyNotReceived
	case ctx.Err() != nil:
		return outcome.CanceledBeforeStart
	default:
		return outcome.Unreachable
	}
}

func (r *roundTrip) reasonAfterStart(ctx context.Context, err error) outcome.Reason {
	switch {
	case errors.Is(context.Cause(ctx), errDeadline):
		return outcome.Timeout
	case r.body.failed.Load():
		// The server cancels the context, too, when it cannot read the body.
		return outcome.UploadFailed
	case errors.Is(context.Cause(ctx), httpconn.ErrEndlessHead), httpconn.IsInvalidAnswer(err):
		return outcome.InvalidAnswer
	case ctx.Err() != nil:
		return outcome.Canceled
	default:
		return outcome.ConnectionLost
	}
}
