package consul

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/levertide/levertide/internal/platform/consul/wire"
	"github.com/levertide/levertide/pkg/store"
)

// maxAnswerBytes bounds the body of a response that is read into memory.
const maxAnswerBytes = 256 << 20

// maxErrorBytes bounds the part of an error response's body that goes into the error.
const maxErrorBytes = 200

// request is one call of the API.
type request struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// write reports that the request may change data.
	write bool
	// wait is how long the server may delay the response of a blocking read.
	wait time.Duration
}

// answer is a complete response of the API.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (a answer) index() uint64 {
	index, err := strconv.ParseUint(a.header.Get(wire.HeaderIndex), 10, 64)
	if err != nil {
		return 0
	}
	return index
}

// decode decodes the JSON body. A response that cannot be decoded is treated as lost.
func (a answer) decode(into any, call request) error {
	if err := json.Unmarshal(a.body, into); err != nil {
		return call.lostAnswer(err)
	}
	return nil
}

// lostAnswer returns the error for a response that was not received completely.
func (r request) lostAnswer(cause error) error {
	if r.write {
		return store.ErrUnknownOutcome.Wrap(cause, "the answer to %s %s was lost", r.method, r.path)
	}
	return store.ErrUnreachable.Wrap(cause, "%s %s was not answered", r.method, r.path)
}

// send sends a request. Statuses 200, 404 and 409 are returned as answers, all
// others as errors.
func (c *Client) send(ctx context.Context, call request) (answer, error) {
	// Consul adds up to a sixteenth of the wait as jitter, to spread its responses.
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout+call.wait+call.wait/16)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	message, err := c.newHTTPRequest(ctx, call)
	if err != nil {
		return answer{}, store.ErrRefused.Wrap(err, "%s %s cannot be sent", call.method, call.path)
	}
	response, err := c.answers.RoundTrip(message)
	if err != nil && !connected.Load() {
		return answer{}, store.ErrUnreachable.Wrap(err, "%s %s was not sent", call.method, call.path)
	}
	if err != nil {
		return answer{}, call.lostAnswer(err)
	}
	defer func() { _ = response.Body.Close() }() // the body has been read by then, so that the error does not matter
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return answer{}, call.lostAnswer(err)
	}
	received := answer{status: response.StatusCode, header: response.Header, body: body}
	return received, received.statusError(call)
}

func (c *Client) newHTTPRequest(ctx context.Context, call request) (*http.Request, error) {
	address := c.config.Address + (&url.URL{Path: call.path}).EscapedPath()
	if len(call.query) > 0 {
		address += "?" + call.query.Encode()
	}
	message, err := http.NewRequestWithContext(ctx, call.method, address, bytes.NewReader(call.body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport cannot retry the request, and so not send the body twice.
	message.GetBody = nil
	if c.config.Token != "" {
		message.Header.Set(wire.HeaderToken, c.config.Token)
	}
	if c.config.Client != "" {
		message.Header.Set("User-Agent", c.config.Client)
	}
	return message, nil
}

// statusError returns the error for a status that send does not return as an answer.
func (a answer) statusError(call request) error {
	text := string(a.body[:min(len(a.body), maxErrorBytes)])
	switch {
	case a.status == http.StatusOK, a.status == http.StatusNotFound, a.status == http.StatusConflict:
		return nil
	case a.status == http.StatusTooManyRequests,
		a.status == http.StatusServiceUnavailable && strings.Contains(text, wire.TextRateLimit):
		return store.RateLimited(a.retryAfter())
	case a.status == http.StatusRequestEntityTooLarge:
		return store.ErrTooLarge.New("%s %s: %s", call.method, call.path, text)
	case a.status == http.StatusInternalServerError && strings.Contains(text, wire.TextInvalidSession):
		return store.ErrSessionGone.New("%s %s: %s", call.method, call.path, text)
	case a.status < http.StatusInternalServerError:
		return store.ErrRefused.New("%s %s: status %d: %s", call.method, call.path, a.status, text)
	case strings.Contains(text, wire.TextNoLeader), !call.write:
		return store.ErrUnreachable.New("%s %s: status %d: %s", call.method, call.path, a.status, text)
	default:
		return store.ErrUnknownOutcome.New("%s %s: status %d: %s", call.method, call.path, a.status, text)
	}
}

func (a answer) retryAfter() time.Duration {
	seconds, err := strconv.Atoi(a.header.Get(wire.HeaderRetryAfter))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
