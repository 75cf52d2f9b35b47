package forwarding

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/internal/crashwatch"
	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/pkg/contain"
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
	// misdirectedPause is how long a worker gets no calls after another one has answered at its address.
	misdirectedPause = time.Second
	// shortestTime is the shortest remaining time with which a call is still sent to a worker.
	shortestTime = 2 * time.Millisecond
	// connectionsPerSlot bounds the connections to a worker per slot, including unused ones and
	// those that are being opened: a worker resets connections beyond what it accepts, with the
	// requests on them. One for each slot is in use, the others allow a request that ends and one
	// that begins to overlap.
	connectionsPerSlot = 2
)

// errOtherAnswer is the failure of an answer without the id of its request.
var errOtherAnswer = errors.New("the answer does not have the id of its request")

// workerClient sends calls from this node to one incarnation of a worker beside it, and
// admits them to its slots.
type workerClient struct {
	dialect *Dialect
	queue   *slotqueue.Queue
	// failures is the share of requests that fail at the worker.
	failures failureShare
	// makeTransport returns a transport to the worker.
	makeTransport func(idle time.Duration, slots int) *http.Transport
	// unshared sends long bodies and calls that a worker received before, each over a connection
	// that is not used otherwise. A worker may answer before it has read a long body and continue
	// to read much later, and a request that followed on the connection would wait behind it. A
	// late second answer to the earlier offer of a call bears the call's id, and would be taken
	// for the answer to the next offer on the connection. The worker is not sent "Connection:
	// close", since it might then close the connection while its answer is still in transit.
	unshared *http.Transport

	mutex  contain.Mutex
	worker workers.Worker
	// address is the text of the worker's address.
	address   string
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
	// no connection, or another one has answered at its address.
	pausedUntil atomic.Int64
	// startedAt is when the worker's incarnation started, as far as it is known.
	startedAt atomic.Int64
	// confirmed is set once an answer has confirmed the incarnation, until the worker denies it.
	confirmed atomic.Bool
	// terms are what the worker states about the requests that it takes.
	terms *workers.TermsKeeper

	// crashes distinguishes the end of the worker from the loss of one connection.
	crashes *crashwatch.Watch
	plane   *Plane
}

func (p *Plane) newWorkerClient(worker workers.Worker) *workerClient {
	client := &workerClient{
		dialect:           &p.config.Dialect,
		queue:             slotqueue.New(worker.Slots - worker.Busy),
		worker:            worker,
		address:           worker.Address.String(),
		inheritedRequests: worker.Busy,
		slots:             worker.Slots,
		idle:              workerIdle,
		plane:             p,
		crashes:           crashwatch.New(p.config.Dial),
		makeTransport: func(idle time.Duration, slots int) *http.Transport {
			return newWorkerTransport(p.config.Dial, idle, slots)
		},
	}
	client.queue.RunTimers(p.contained)
	client.startedAt.Store(worker.StartedAt)
	client.terms = workers.NewTermsKeeper(client.followTerms)
	client.startWithLimit(worker.Limit)
	client.transport = client.makeTransport(workerIdle, worker.Slots)
	client.unshared = newTransport(p.config.Dial, workerIdle, noIdleConnections)
	return client
}

// isOf reports whether the client belongs to the given incarnation of the worker. If its start
// time was not known before, it is recorded.
func (w *workerClient) isOf(incarnation workers.Incarnation) bool {
	if !w.incarnation().Same(incarnation) {
		return false
	}
	if incarnation.StartedAt != 0 {
		w.startedAt.Store(incarnation.StartedAt)
	}
	return true
}

// incarnation returns the worker incarnation that the client belongs to.
func (w *workerClient) incarnation() workers.Incarnation {
	return workers.Incarnation{Instance: w.worker.Instance, StartedAt: w.startedAt.Load()}
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
	// sent is set before anything is written to the worker, arrived once the request may have reached
	// it.
	sent, arrived bool
	// waited is how long it waited for a slot, ran how long the worker had it.
	waited, ran time.Duration
}

// check returns the failure of a request that would be refused now; nil for one that would be
// admitted or could wait.
func (w *workerClient) check(ctx context.Context, wanted claim) error {
	if w.paused() {
		return outcome.New(outcome.NoWorker)
	}
	if err := w.queue.Check(wanted.request()); err != nil {
		return w.paced(admissionFailure(ctx, err))
	}
	return nil
}

// run admits a request and sends it to the worker.
func (w *workerClient) run(ctx context.Context, call *workerCall) (*answer, error) {
	if w.paused() {
		return nil, outcome.New(outcome.NoWorker)
	}
	arrivedAt := time.Now()
	if call.level > 0 {
		if err := w.isolate(ctx, call.claim.latestStart); err != nil {
			call.waited = time.Since(arrivedAt)
			return nil, err
		}
		defer w.crashes.EndIsolation()
	}
	permit, err := w.queue.Admit(ctx, call.claim.request())
	call.waited = time.Since(arrivedAt)
	if err != nil {
		return nil, w.paced(admissionFailure(ctx, err))
	}
	return w.runAdmitted(ctx, call, permit)
}

// runAdmitted sends a request that has a slot. The slot is freed with the end of the request, or of
// its answer where that is streamed.
func (w *workerClient) runAdmitted(ctx context.Context, call *workerCall, permit slotqueue.Permit) (*answer, error) {
	settled, observed := false, false
	defer func() {
		if !settled {
			w.plane.giveBack(func() { permit.Release(observed) })
		}
	}()
	if w.plane.left(call.began, call.end) < shortestTime {
		return nil, outcome.New(outcome.DeadlineBeforeStart)
	}
	began := time.Now()
	if id := call.inbound.Header.Get(w.dialect.RequestID); id != "" && (call.repeat || call.principal.checked) {
		w.plane.running.begin(id, call, began)
		defer w.plane.giveBack(func() { w.plane.running.end(id, call.repeat, time.Now()) })
	}
	result, err := w.sendWatched(ctx, call)
	call.ran = time.Since(began)
	if outcome.ReasonOf(err) == outcome.ConnectionLost && w.ended(ctx) {
		err = outcome.Wrap(outcome.WorkerCrashed, err)
		w.plane.crashed(w.incarnation(), call)
	}
	failed := failedAtWorker(result, err)
	w.failures.observe(failed, time.Now())
	if err != nil {
		observed = outcome.ReasonOf(err) == outcome.Timeout
		return nil, err
	}
	result.ran, result.load.Slowness = call.ran, w.slowness()
	if result.rest == nil {
		observed = !failed
		w.plane.answeredComplete(call)
		return result, nil
	}
	settled = true
	result.finish = func(complete bool) {
		defer w.plane.giveBack(func() { permit.Release(false) })
		if complete {
			w.plane.answeredComplete(call)
		}
	}
	return result, nil
}

// sendWatched sends a request while it counts as in flight at the worker.
func (w *workerClient) sendWatched(ctx context.Context, call *workerCall) (*answer, error) {
	w.crashes.Begin()
	defer w.crashes.End()
	return w.send(ctx, call)
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
func (w *workerClient) send(ctx context.Context, call *workerCall) (result *answer, err error) {
	call.sent = true
	exchange := httpExchange{transport: w.transportFor(call), request: w.request(call), body: call.body, headTime: httpconn.WorkerHeadTime}
	sentAt := time.Now()
	response, err := exchange.do(ctx)
	if err != nil {
		call.arrived = outcome.Of(err) != outcome.NotRun
		if outcome.ReasonOf(err) == outcome.Unreachable {
			w.pause(unreachablePause)
		}
		return nil, err
	}
	call.arrived = true
	defer func() {
		if result == nil {
			_ = response.Body.Close()
		}
	}()
	w.followKeepAlive(response.Header)
	if !w.dialect.answers(call.inbound, response) {
		// The answer belongs to an earlier request, or cannot be assigned to any.
		return nil, exchange.reject(response, errOtherAnswer)
	}
	w.observeLoad(response.Header)
	if response.StatusCode != http.StatusMisdirectedRequest {
		w.observeTerms(response.Header, sentAt)
	}
	if w.dialect.refused(response) {
		if response.StatusCode == http.StatusMisdirectedRequest {
			w.denied()
		}
		return nil, withDecision(outcome.New(outcome.RefusedByOwnWorker), decision{by: w.incarnation().String(), evidence: w.dialect.evidence(response)})
	}
	if w.dialect.marked(response) {
		// The mark and the status contradict each other.
		return nil, outcome.New(outcome.InvalidAnswer)
	}
	w.served()
	result, err = readAnswer(ctx, response)
	if result != nil {
		result.sending = exchange.sent
	}
	return result, err
}

// served records that the worker takes a request for its incarnation, so that it is this one that runs.
func (w *workerClient) served() {
	if !w.confirmed.Load() && w.confirmed.CompareAndSwap(false, true) {
		w.plane.config.Workers.Confirm(w.incarnation())
	}
}

// denied records that the process at the worker's address says that it is another one.
func (w *workerClient) denied() {
	w.pause(misdirectedPause)
	w.plane.config.Workers.Unconfirm(w.incarnation())
	// After the registry: an answer served meanwhile is otherwise the last one that could confirm.
	w.confirmed.Store(false)
}

func (w *workerClient) request(call *workerCall) *http.Request {
	header := forwardedHeader(call.inbound, w.dialect)
	if call.principal.tenant != "" {
		header[w.dialect.Tenant] = []string{call.principal.tenant}
	}
	left := max(w.plane.left(call.began, call.end).Milliseconds(), 1)
	header[w.dialect.Timeout] = []string{strconv.FormatInt(left, 10)}
	header[w.dialect.CallerService] = []string{call.caller}
	header[w.dialect.ExpectInstance] = []string{w.worker.Instance}
	return newRequest(call.inbound, w.address, header)
}

// transportFor returns the transport for a call.
func (w *workerClient) transportFor(call *workerCall) *http.Transport {
	if call.body.long() || call.repeat {
		return w.unshared
	}
	return w.currentTransport()
}

// currentTransport returns the transport for further requests.
func (w *workerClient) currentTransport() *http.Transport {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.transport
}

// observeLoad records the load that the worker reports in an answer.
func (w *workerClient) observeLoad(header http.Header) {
	reported, ok := w.dialect.workerLoad(header)
	if !ok {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if reported.Slowness > 0 {
		w.reportedSlowness.observe(min(reported.Slowness, highestSlowness), time.Now())
	}
	if w.inheritedRequests > 0 {
		own := w.queue.Load().Running
		w.inheritedRequests = min(w.inheritedRequests, max(reported.Running+reported.Waiting-own, 0))
		w.queue.SetSlots(w.slots - w.inheritedRequests)
	}
}

// setSlots changes the number of slots of the worker.
func (w *workerClient) setSlots(slots int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if slots != w.slots {
		w.renew(w.idle, slots)
	}
	w.queue.SetSlots(slots - w.inheritedRequests)
}

// renew makes further requests use a new transport. Requests in progress keep theirs. The mutex
// must be held.
func (w *workerClient) renew(idle time.Duration, slots int) {
	previous := w.transport
	w.idle, w.slots = idle, slots
	w.transport = w.makeTransport(idle, slots)
	previous.CloseIdleConnections()
}

// slowness returns the worker's current slowness as it reports it; zero when it reports none.
func (w *workerClient) slowness() float64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.reportedSlowness.at(time.Now())
}

// followKeepAlive keeps unused connections for less time than the worker states.
func (w *workerClient) followKeepAlive(header http.Header) {
	idle, ok := keepAliveOf(header)
	if !ok {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if idle == w.idle {
		return
	}
	w.renew(idle, w.slots)
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
func (w *workerClient) load() slotqueue.Load {
	load := w.queue.Load()
	load.Failing = w.failures.now(time.Now())
	load.Slowness = w.slowness()
	return load
}

// close ends the admission. Requests in progress are not affected.
func (w *workerClient) close() {
	w.queue.Close()
	w.currentTransport().CloseIdleConnections()
}

// paused reports whether the worker gets no calls for now.
func (w *workerClient) paused() bool {
	return time.Now().UnixNano() < w.pausedUntil.Load()
}

// pause has the worker get no calls for a time.
func (w *workerClient) pause(duration time.Duration) {
	w.pausedUntil.Store(time.Now().Add(duration).UnixNano())
}
