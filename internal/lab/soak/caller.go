package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/internal/sidecar"
)

const (
	statusServed  = http.StatusOK
	statusRefused = http.StatusServiceUnavailable
	// statusQuarantined is the status with which a crashing request is refused.
	statusQuarantined = http.StatusBadRequest
	// callerPause is how long a caller waits after a call without a complete response.
	callerPause = 20 * time.Millisecond
	// callerAttempts is how often, at most, a read is sent until it is served.
	callerAttempts = 4
	// popularShare is the share of the reads that are for one of a few popular paths, so
	// that several callers send identical requests; popularPaths is the number of these
	// paths.
	popularShare = 0.5
	popularPaths = 20
	// statusNoRoute is the status of a request that no route takes.
	statusNoRoute = http.StatusNotFound
	// shortPathShare is the share of the requests whose path lacks the last slash of the prefix of a
	// route, so that no route takes it. Their ids begin with shortPathPrefix.
	shortPathShare  = 0.02
	shortPathPrefix = "short-"
)

// call sends one request to a random machine and records the outcome in the ledger. A
// read that was not served is sent again, to a random machine each time.
func call(ctx context.Context, client *http.Client, machines []*machine, l *ledger, id string) {
	method, prefix := http.MethodPost, oncePrefix
	repeatable := rand.Float64() < 0.5
	if repeatable {
		method, prefix = http.MethodGet, safePrefix
	}
	path := prefix + id
	if repeatable && rand.Float64() < popularShare {
		path = fmt.Sprintf("%spopular-%d", safePrefix, rand.IntN(popularPaths))
	}
	switch drawn := rand.Float64(); {
	case drawn < unknownCallerShare:
		id = unknownCallerPrefix + id
	case drawn < unknownCallerShare+shortPathShare:
		id = shortPathPrefix + id
		path = strings.TrimSuffix(prefix, "/")
	}
	for attempt := range callerAttempts {
		attemptID := fmt.Sprintf("%s-%d", id, attempt)
		l.recordCall(attemptID, repeatable)
		status, body, err := send(ctx, client, machines[rand.IntN(len(machines))], method, path, attemptID)
		if err != nil {
			status = 0
			time.Sleep(callerPause)
		}
		l.recordOutcome(attemptID, status, body)
		if status == statusServed || status == statusUnauthenticated || status == statusNoRoute || !repeatable {
			return
		}
	}
}

// send sends a request with the key that its caller uses, if any.
func send(ctx context.Context, client *http.Client, m *machine, method, path, id string) (int, string, error) {
	return sendWith(ctx, client, m, method, path, id, keyOf(path, id))
}

func sendWith(ctx context.Context, client *http.Client, m *machine, method, path, id, key string) (int, string, error) {
	sent := message{method: method, path: path, id: id, key: key}
	if method == http.MethodPost {
		sent.body = []byte(id)
	}
	return sent.send(ctx, client, m)
}

// message is a request of a caller.
type message struct {
	method, path, id, key string
	body                  []byte
	// chunked has the body sent in chunks, pause holds up its second half.
	chunked bool
	pause   time.Duration
}

// request returns the message as a request to a machine.
func (q message) request(ctx context.Context, m *machine) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, q.method, "http://"+m.callers+q.path, nil)
	if err != nil {
		return nil, err
	}
	// When its connection breaks, net/http would by itself send a request without a
	// body again, under the same id, which callers must not do.
	request.Body = httpconn.EmptyBody{}
	request.TransferEncoding = httpconn.IdentityEncoding
	if len(q.body) > 0 {
		request.Body = io.NopCloser(&pausedBody{rest: q.body, pauseAt: len(q.body) / 2, pause: q.pause})
		request.ContentLength, request.TransferEncoding = int64(len(q.body)), nil
	}
	if len(q.body) > 0 && q.chunked {
		request.ContentLength = -1
	}
	request.Host = hostName
	request.Header.Set(dialect.RequestID, q.id)
	request.Header.Set(dialect.Timeout, fmt.Sprint(callBound.Milliseconds()))
	request.Header[dialect.Tenant] = []string{"forged"}
	if q.key != "" {
		request.Header.Set(dialect.Key.Header, dialect.Key.Scheme+" "+q.key)
	}
	return request, nil
}

// send sends the message to a machine and reads the answer.
func (q message) send(ctx context.Context, client *http.Client, m *machine) (int, string, error) {
	var way sending
	request, err := q.request(way.follow(ctx), m)
	if err != nil {
		return 0, "", err
	}
	m.ledger.recordBody(q.id, len(q.body))
	m.ledger.terms.recordSent(q.id, m.id, time.Now())
	began := time.Now()
	status, body, err := q.exchange(client, m, request)
	if err != nil && ctx.Err() == nil && way.readInFull() && !m.disturbedSince(began) && !gaveUp(err, began) {
		m.ledger.fail("request %s, with a body of %d bytes, was read in full by %s and ended without a whole answer, status %d: %v", q.id, len(q.body), m.id, status, err)
	}
	return status, body, err
}

func (q message) exchange(client *http.Client, m *machine, request *http.Request) (int, string, error) {
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	m.ledger.terms.recordAnswer(m.id, response.Header, time.Now())
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err == nil {
		m.ledger.checkBroken(q.id, response.Header)
	}
	return response.StatusCode, string(body), err
}

// newClient returns a client on the given network.
func newClient(network sidecar.Network, bound time.Duration) *http.Client {
	return &http.Client{Timeout: bound, Transport: &http.Transport{DialContext: network.Dial}}
}

// callOn sends requests to random machines until the context ends.
func callOn(ctx context.Context, network sidecar.Network, machines []*machine, l *ledger, caller int) {
	client := newClient(network, 2*callBound)
	defer client.CloseIdleConnections()
	for number := 0; ctx.Err() == nil; number++ {
		call(context.WithoutCancel(ctx), client, machines, l, fmt.Sprintf("request-%d-%d", caller, number))
	}
}
