package dataplane

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"

	"github.com/levertide/levertide/internal/httpleg"
	"github.com/levertide/levertide/pkg/outcome"
)

// roundTrip is one request on its way over one leg.
type roundTrip struct {
	transport *http.Transport
	request   *http.Request
	body      *requestBody
	relay     *informationalRelay

	conn   *httpleg.Conn // nil until the request got a connection
	reused bool
}

// do sends the request and returns the head of the answer. Errors are those of
// package outcome: not-run when nothing was written on any connection.
func (s *roundTrip) do(ctx context.Context) (*http.Response, error) {
	response, err := s.sendOnce(ctx)
	if err != nil && s.metStaleConnection(ctx, err) {
		response, err = s.sendOnce(ctx)
	}
	return response, err
}

func (s *roundTrip) sendOnce(ctx context.Context) (*http.Response, error) {
	s.conn, s.reused = nil, false
	s.body.attach(s.request)
	trace := &httptrace.ClientTrace{GotConn: s.gotConn, Got1xxResponse: s.relay.relay}
	response, err := s.transport.RoundTrip(s.request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return nil, s.classify(ctx, err)
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		_ = response.Body.Close()
		return nil, outcome.New(outcome.InvalidAnswer)
	}
	return response, nil
}

func (s *roundTrip) gotConn(info httptrace.GotConnInfo) {
	tracked, ok := info.Conn.(*httpleg.Conn)
	if !ok {
		return
	}
	tracked.Begin()
	s.conn, s.reused = tracked, info.Reused
}

// metStaleConnection reports whether a kept connection turned out to be closed
// before anything was written on it.
func (s *roundTrip) metStaleConnection(ctx context.Context, err error) bool {
	return s.reused && ctx.Err() == nil && outcome.Of(err) == outcome.NotRun && s.body.repeatable()
}

// classify tells what became of a request that got no answer.
func (s *roundTrip) classify(ctx context.Context, err error) error {
	nothingWritten := s.conn == nil || s.conn.Seal()
	if nothingWritten {
		return outcome.Wrap(s.reasonBeforeStart(ctx), err)
	}
	return outcome.Wrap(s.reasonAfterStart(ctx), err)
}

func (s *roundTrip) reasonBeforeStart(ctx context.Context) outcome.Reason {
	switch {
	case errors.Is(context.Cause(ctx), errDeadline):
		return outcome.DeadlineBeforeStart
	case s.body.failed.Load():
		return outcome.BodyNotReceived
	case ctx.Err() != nil:
		return outcome.CanceledBeforeStart
	default:
		return outcome.Unreachable
	}
}

func (s *roundTrip) reasonAfterStart(ctx context.Context) outcome.Reason {
	switch {
	case errors.Is(context.Cause(ctx), errDeadline):
		return outcome.Timeout
	case s.body.failed.Load():
		// The server cancels the context, too, when it cannot read the body.
		return outcome.UploadFailed
	case ctx.Err() != nil:
		return outcome.Canceled
	default:
		return outcome.ConnectionLost
	}
}
