package forwarding

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/internal/crashwatch"
	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/slotqueue"
	"github.com/levertide/levertide/pkg/workers"
)

const (
	// workerIdle is how long an unused connection to a worker is kept when the worker does not
	// state its keep-alive time, and keepAliveMargin how much earlier than the stated time one is
	// closed: a request must not be sent on a connection that is just being closed.
	workerIdle      = 4 * time.Second
	keepAliveMargin = time.Second
	// shortestWorkerIdle is the shortest time for which an unused connection is kept, whatever
	// the worker states.
	shortestWorkerIdle = 100 * time.Millisecond
	// unreachablePause is how long a worker that accepts no connection gets no calls.
	unreachablePause = 250 * time.Millisecond
	// shortestTime is the shortest remaining time with which a call is still sent to a worker.
	shortestTime = 2 * time.Millisecond
	// connectionsPerSlot bounds the connections to a worker per slot, including unused ones and
	// those that are being opened: a worker resets connections beyond what it accepts, with the
	// requests on them. One for each slot is in use, the others allow a request that ends and one
	// that begins to overlap.
	connectionsPerSlot = 2
)

// workerConnection sends calls from this node to one incarnation of a worker beside it, and
// admits them to its slots.
type workerConnection struct {
	dialect *Dialect
	queue   *slotqueue.Queue
	// failures is the share of requests that fail at the worker.
	failures failureShare
	// makeTransport returns a transport to the worker.
	makeTransport func(idle time.Duration, slots int) *http.Transport
	// unshared sends long bodies, each over a connection that is not used again: a worker may
	// answer before it has read the body and continue to read much later, and a request that
	// followed on the connection would wait behind it. The worker is not sent "Connection:
	// close", since it might then close the connection while its answer is still in transit.
	unshared *http.Transport

	mutex     sync.Mutex
	worker    workers.Worker
	transport *http.Transport
	idle      time.Duration
	// reportedSlowness is the slowness that the worker reports in its answers.
	reportedSlowness decayingMean
	// inheritedRequests is how many requests the worker is known to run for a previous
	// incarnation of the node. They occupy slots: some workers that are given more than they can
	// hold stop answering.
	inheritedRequests int
	// slots is how many slots the worker has.
	slots int
	// pausedUntil, in Unix nanoseconds, is until when the worker gets no calls after it accepted
	// no connection.
	pausedUntil atomic.Int64
	// startedAt is when the worker's incarnation started, as far as it is known.
	startedAt atomic.Int64
	// replaced is set when another worker has answered at the address.
	replaced atomic.Bool

	// crashes distinguishes the end of the worker from the loss of one connection.
	crashes *crashwatch.Watch
	plane   *Plane
}

func (p *Plane) newWorkerConnection(worker workers.Worker) *workerConnection {
	connection := &workerConnection{
		dialect:           &p.config.Dialect,
		queue:             slotqueue.New(worker.Slots - worker.Busy),
		worker:            worker,
		inheritedRequests: worker.Busy,
		slots:             worker.Slots,
		idle:              workerIdle,
		plane:             p,
		crashes:           crashwatch.New(p.config.Dial),
		makeTransport: func(idle time.Duration, slots int) *http.Transport {
			return newWorkerTransport(p.config.Dial, idle, slots)
		},
	}
	connection.startedAt.Store(worker.StartedAt)
	connection.transport = connection.makeTransport(workerIdle, worker.Slots)
	connection.unshared = newTransport(p.config.Dial, workerIdle, noIdleConnections)
	return connection
}

// isOf reports whether the connection is to the given incarnation of the worker. If its start
// time was not known before, it is recorded.
func (l *workerConnection) isOf(incarnation workers.Incarnation) bool {
	if !l.incarnation().Same(incarnation) {
		return false
	}
	if incarnation.StartedAt != 0 {
		l.startedAt.Store(incarnation.StartedAt)
	}
	return true
}

// incarnation returns the worker incarnation that the connection is to.
func (l *workerConnection) incarnation() workers.Incarnation {
	return workers.Incarnation{Instance: l.worker.Instance, StartedAt: l.startedAt.Load()}
}

// workerCall is one request for the worker.
type workerCall struct {
	inbound *http.Request
	body    *requestBody
	caller  string
	claim   claim
	// began is when the request arrived at this node, end the deadline of the call.
	began, end time.Time
	// principal is the authenticated owner of the request.
	principal principal
	// level is how many worker crashes the request is known to have caused.
	level int
	// repeat is set when a worker received the request before.
	repeat bool
	// identified caches the fingerprint of the request.
	identified identity
	// arrived is set once the request may have reached the worker.
	arrived bool
	// waited is how long it waited for a slot, ran how long the worker had it.
	waited, ran time.Duration
}

// check returns the failure of a request that would be refused now; nil for one that would be
// admitted or could wait.
func (l *workerConnection) check(ctx context.Context, wanted claim) error {
	if l.paused() {
		return outcome.New(outcome.NoWorker)
	}
	if err := l.queue.Check(wanted.request()); err != nil {
		return admissionFailure(ctx, err)
	}
	return nil
}

// run admits a request and sends it to the worker.
func (l *workerConnection) run(ctx context.Context, call *workerCall) (*answer, error) {
	if l.paused() {
		return nil, outcome.New(outcome.NoWorker)
	}
	arrivedAt := time.Now()
	if call.level > 0 {
		if err := l.isolate(ctx, call.claim.latestStart); err != nil {
			call.waited = time.Since(arrivedAt)
			return nil, err
		}
		defer l.crashes.EndIsolation()
	}
	permit, err := l.queue.Admit(ctx, call.claim.request())
	call.waited = time.Since(arrivedAt)
	if err != nil {
		return nil, admissionFailure(ctx, err)
	}
	if l.plane.left(call.began, call.end) < shortestTime {
		permit.Release(false)
		return nil, outcome.New(outcome.DeadlineBeforeStart)
	}
	began := time.Now()
	if id := call.inbound.Header.Get(l.dialect.RequestID); id != "" && (call.repeat || call.principal.checked) {
		l.plane.running.begin(id, call, began)
		defer func() { l.plane.running.end(id, call.repeat, time.Now()) }()
	}
	l.crashes.Begin()
	result, err := l.send(ctx, call)
	l.crashes.End()
	call.ran = time.Since(began)
	if outcome.ReasonOf(err) == outcome.ConnectionLost && l.ended(ctx) {
		err = outcome.Wrap(outcome.WorkerCrashed, err)
		l.plane.crashed(l.incarnation(), call)
	}
	failed := failedAtWorker(result, err)
	l.failures.observe(failed, time.Now())
	if err != nil {
		permit.Release(outcome.ReasonOf(err) == outcome.Timeout)
		return nil, err
	}
	result.ran, result.load.Slowness = call.ran, l.slowness()
	l.releaseAfter(result, call, permit, failed)
	return result, nil
}

// releaseAfter releases the slot of a call once its answer was read completely, or broke off.
func (l *workerConnection) releaseAfter(result *answer, call *workerCall, permit slotqueue.Permit, failed bool) {
	if result.rest == nil {
		l.plane.answeredComplete(call)
		permit.Release(!failed)
		return
	}
	result.finish = func(whole bool) {
		if whole {
			l.plane.answeredComplete(call)
		}
		permit.Release(false)
	}
}

func admissionFailure(ctx context.Context, err error) error {
	switch {
	case errorx.IsOfType(err, slotqueue.ErrClosed):
		return outcome.New(outcome.Draining)
	case errorx.IsOfType(err, slotqueue.ErrAbandoned) && context.Cause(ctx) == errEnd:
		return outcome.New(outcome.DeadlineBeforeStart)
	case errorx.IsOfType(err, slotqueue.ErrAbandoned):
		return outcome.New(outcome.CanceledBeforeStart)
	default:
		return outcome.WithRetryAfter(outcome.Overloaded, slotqueue.WaitOf(err))
	}
}

// send sends an admitted request to the worker and turns invalid answers and refusals into
// failures.
func (l *workerConnection) send(ctx context.Context, call *workerCall) (*answer, error) {
	transport := l.current()
	if call.body.long() {
		transport = l.unshared
	}
	exchange := httpExchange{transport: transport, request: l.request(call), body: call.body}
	response, err := exchange.do(ctx)
	if err != nil {
		call.arrived = outcome.Of(err) != outcome.NotRun
		if outcome.ReasonOf(err) == outcome.Unreachable {
			l.pausedUntil.Store(time.Now().Add(unreachablePause).UnixNano())
		}
		return nil, err
	}
	call.arrived = true
	l.followKeepAlive(response.Header)
	if sent := call.inbound.Header.Get(l.dialect.RequestID); sent != response.Header.Get(l.dialect.RequestID) {
		// The answer belongs to an earlier request, or cannot be assigned to any.
		_ = response.Body.Close()
		return nil, outcome.New(outcome.InvalidAnswer)
	}
	l.observeLoad(response.Header)
	if l.dialect.refused(response) {
		_ = response.Body.Close()
		if response.StatusCode == http.StatusMisdirectedRequest {
			l.replaced.Store(true)
		}
		return nil, outcome.New(outcome.RefusedByOwnWorker)
	}
	return readAnswer(ctx, response)
}

func (l *workerConnection) request(call *workerCall) *http.Request {
	header := forwardedHeader(call.inbound, l.dialect)
	if call.principal.tenant != "" {
		header[l.dialect.Tenant] = []string{call.principal.tenant}
	}
	left := max(l.plane.left(call.began, call.end).Milliseconds(), 1)
	header[l.dialect.Timeout] = []string{strconv.FormatInt(left, 10)}
	header[l.dialect.CallerService] = []string{call.caller}
	header[l.dialect.ExpectInstance] = []string{l.worker.Instance}
	return newRequest(call.inbound, l.worker.Address, header)
}

func (l *workerConnection) current() *http.Transport {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.transport
}

// observeLoad records the load that the worker reports in an answer.
func (l *workerConnection) observeLoad(header http.Header) {
	reported, ok := l.dialect.workerLoad(header)
	if !ok {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if reported.Slowness > 0 {
		l.reportedSlowness.observe(min(reported.Slowness, highestSlowness), time.Now())
	}
	if l.inheritedRequests > 0 {
		own := l.queue.Load().Running
		l.inheritedRequests = min(l.inheritedRequests, max(reported.Running+reported.Waiting-own, 0))
		l.queue.SetSlots(l.slots - l.inheritedRequests)
	}
}

// setSlots changes the number of slots of the worker.
func (l *workerConnection) setSlots(slots int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if slots != l.slots {
		l.renew(l.idle, slots)
	}
	l.queue.SetSlots(slots - l.inheritedRequests)
}

// renew makes further requests use a new transport. Requests in progress keep theirs. The mutex
// must be held.
func (l *workerConnection) renew(idle time.Duration, slots int) {
	former := l.transport
	l.idle, l.slots = idle, slots
	l.transport = l.makeTransport(idle, slots)
	former.CloseIdleConnections()
}

// slowness returns the worker's current slowness as it reports it; zero when it reports none.
func (l *workerConnection) slowness() float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.reportedSlowness.at(time.Now())
}

// followKeepAlive keeps unused connections for less time than the worker states.
func (l *workerConnection) followKeepAlive(header http.Header) {
	idle, ok := keepAliveOf(header)
	if !ok {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if idle == l.idle {
		return
	}
	l.renew(idle, l.slots)
}

func keepAliveOf(header http.Header) (time.Duration, bool) {
	for _, value := range header["Keep-Alive"] {
		for parameter := range strings.SplitSeq(value, ",") {
			name, text, _ := strings.Cut(strings.TrimSpace(parameter), "=")
			seconds, err := strconv.Atoi(text)
			if strings.EqualFold(name, "timeout") && err == nil {
				return max(time.Duration(seconds)*time.Second-keepAliveMargin, shortestWorkerIdle), true
			}
		}
	}
	return 0, false
}

// load returns the load of the worker as this node knows it.
func (l *workerConnection) load() slotqueue.Load {
	load := l.queue.Load()
	load.Failing = l.failures.now(time.Now())
	load.Slowness = l.slowness()
	return load
}

// close ends the admission. Requests in progress are not affected.
func (l *workerConnection) close() {
	l.queue.Close()
	l.current().CloseIdleConnections()
}

// paused reports whether the worker gets no calls for now.
func (l *workerConnection) paused() bool {
	return l.replaced.Load() || time.Now().UnixNano() < l.pausedUntil.Load()
}
