package admission

import (
	"context"
	"errors"
	"time"

	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/pace"
)

const (
	// SlotsFullLoad is the Load of a gate whose slots are all taken and whose
	// queue is empty.
	SlotsFullLoad = 0.75

	// serviceWeight is the weight of one request in the moving average of the time
	// for which a request holds its slot.
	serviceWeight = 0.1

	minimumRetryAfter = 50 * time.Millisecond
	maximumRetryAfter = 5 * time.Second
)

// Gate admits requests to one worker. Use New.
type Gate struct {
	now func() time.Time

	mutex       contain.Mutex
	options     Options
	limit       int // present number of usable slots
	inFlight    int
	queue       waitQueue
	waiters     waiterPool
	permits     permitTable
	adaptive    adaptiveLimit
	warmUntil   time.Time // zero when the worker is warm
	serviceTime float64   // seconds, moving average
	draining    bool
	leaving     bool          // the worker itself refuses new requests
	pacer       *pace.Pacer   // nil where the worker takes any number per second
	paceAlarm   pace.Alarm    // set while pacer holds waiters up
	idle        chan struct{} // closed when draining and no request is left; nil unless waited for
	counts      Counts
	runTimer    func(work func()) // runs the work of a timer
}

// Counts are totals since the gate was made.
type Counts struct {
	Admitted uint64
	Shed     uint64
}

// Stats is the state of a gate at one moment.
type Stats struct {
	Limit    int
	InFlight int
	Waiting  int
	Draining bool
	Counts   Counts
}

// New returns a gate for a worker that is assumed to be warm. Call WorkerStarted
// for one that is not.
func New(options Options) *Gate {
	options = options.withDefaults()
	g := &Gate{now: options.Now, options: options, runTimer: func(work func()) { work() }}
	g.adaptive.reset(options.Slots)
	g.refreshLimit()
	return g
}

// RunTimers has the work of the gate's timers done by a function, such as one that contains its
// panics. Call it before the gate is used.
func (g *Gate) RunTimers(run func(work func())) { g.runTimer = run }

// Admit waits for a slot. On success the caller must call Release on the permit
// exactly once, whatever the outcome of the request. An error is always of type
// ErrShed: no part of the request may be sent to the worker.
func (g *Gate) Admit(ctx context.Context, priority Priority) (Permit, error) {
	priority = min(priority, PriorityHigh)
	if err := ctx.Err(); err != nil {
		return Permit{}, g.shed(contextReason(err))
	}
	permit, w, reason, err := g.takeOrEnqueue(ctx, priority)
	if w == nil {
		return permit, err
	}
	return g.await(ctx, w, reason)
}

// takeOrEnqueue takes a free slot, or returns a waiter with the reason to report when its wait has
// passed.
func (g *Gate) takeOrEnqueue(ctx context.Context, priority Priority) (Permit, *waiter, Reason, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.draining || g.leaving {
		return Permit{}, nil, "", g.refuse(ReasonDraining)
	}
	if !g.warmUntil.IsZero() {
		g.refreshLimit()
		g.dispatch()
	}
	if g.ready() {
		return g.take(), nil, "", nil
	}
	w, reason, err := g.enqueue(ctx, priority)
	return Permit{}, w, reason, err
}

// enqueue queues a request, or refuses it when waiting is useless or the queue is full. The mutex is
// held.
func (g *Gate) enqueue(ctx context.Context, priority Priority) (*waiter, Reason, error) {
	if g.beyondLimit(ctx, priority) {
		return nil, "", g.refuse(ReasonLimited)
	}
	if g.inFlight >= g.limit {
		g.adaptive.markReached()
	}
	wait, reason := g.waitBound(ctx, priority)
	if wait <= 0 {
		return nil, "", g.refuse(reason)
	}
	if g.queue.length >= g.options.Queue && !g.displace(priority) {
		return nil, "", g.refuse(ReasonQueueFull)
	}
	w := g.waiters.get(priority, wait)
	g.queue.push(w)
	if g.pacer != nil {
		g.dispatch()
	}
	return w, reason, nil
}

// waitBound returns the longest wait for a new request and the reason to report
// when it has passed. Zero means that waiting is useless.
func (g *Gate) waitBound(ctx context.Context, priority Priority) (time.Duration, Reason) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return g.options.QueueWait, ReasonQueueWait
	}
	remaining := deadline.Sub(g.now())
	if remaining <= g.expectedWait(priority) {
		return 0, ReasonDeadline
	}
	if remaining < g.options.QueueWait {
		return remaining, ReasonDeadline
	}
	return g.options.QueueWait, ReasonQueueWait
}

// expectedWait estimates the wait of a new request from the moving average of the
// time for which a request holds its slot.
func (g *Gate) expectedWait(priority Priority) time.Duration {
	ahead := float64(g.queue.ahead(priority))
	seconds := ahead * g.serviceTime / float64(g.limit)
	return max(time.Duration(seconds*float64(time.Second)), g.pacedWait(priority))
}

// displace frees a place in a full queue by refusing a waiter of lower priority.
func (g *Gate) displace(priority Priority) bool {
	w := g.queue.popBelow(priority)
	if w == nil {
		return false
	}
	w.decide(verdictDisplaced)
	return true
}

func (g *Gate) await(ctx context.Context, w *waiter, timeoutReason Reason) (Permit, error) {
	select {
	case <-w.decided:
		return g.settleDecided(w)
	case <-w.timer.C:
		return g.withdraw(w, timeoutReason)
	case <-ctx.Done():
		return g.withdraw(w, contextReason(ctx.Err()))
	}
}

// withdraw removes the waiter from the queue, unless its verdict has been set
// already.
func (g *Gate) withdraw(w *waiter, reason Reason) (Permit, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if w.queued {
		g.queue.remove(w)
		g.waiters.put(w)
		return Permit{}, g.refuse(reason)
	}
	<-w.decided // sent before the mutex was released
	return g.settle(w)
}

func (g *Gate) settleDecided(w *waiter) (Permit, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.settle(w)
}

// settle returns the permit or the refusal that the waiter's verdict stands for, and puts
// the waiter back into the pool. The mutex is held.
func (g *Gate) settle(w *waiter) (Permit, error) {
	permit, decided := w.permit, w.verdict
	g.waiters.put(w)
	switch decided {
	case verdictDisplaced:
		return Permit{}, g.refuse(ReasonDisplaced)
	case verdictLeaving:
		return Permit{}, g.refuse(ReasonDraining)
	}
	return permit, nil
}

// take occupies a slot and returns its permit. It is called with the mutex held and a
// slot free.
func (g *Gate) take() Permit {
	g.inFlight++
	if g.pacer != nil {
		g.pacer.Take(g.now())
	}
	g.counts.Admitted++
	return g.permits.take(g)
}

func (g *Gate) release(p Permit, result Result) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.permits.release(p) {
		return
	}
	g.inFlight--
	g.observe(result)
	g.dispatch()
	g.signalIdle()
}

func (g *Gate) observe(result Result) {
	if result.Latency > 0 {
		g.serviceTime += (result.Latency.Seconds() - g.serviceTime) * serviceWeight
	}
	changed := g.adaptive.observe(result, g.options.Slots, g.now())
	if changed || !g.warmUntil.IsZero() {
		g.refreshLimit()
	}
}

// dispatch gives free slots to waiters, the highest priority first.
func (g *Gate) dispatch() {
	for g.inFlight < g.limit {
		if g.queue.length == 0 {
			return
		}
		if g.pacer != nil && !g.pacer.Ready(g.now()) {
			g.paceAlarm.Set(g.pacer.Wait(0, g.now()), func() { g.runTimer(g.continueAtPace) })
			return
		}
		w := g.queue.popFirst()
		w.permit = g.take()
		w.decide(verdictGranted)
	}
}

// Load returns how busy the gate is, from 0 to 1. Up to SlotsFullLoad it grows with
// the share of slots taken, above that with the share of the queue taken. A
// draining gate returns 1, and so does one whose worker refuses. One that its limit holds up has no
// slot to give.
func (g *Gate) Load() float64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.draining || g.leaving {
		return 1
	}
	load := SlotsFullLoad * min(float64(g.inFlight)/float64(g.limit), 1)
	if g.pacer != nil && !g.pacer.Ready(g.now()) {
		load = SlotsFullLoad
	}
	if g.options.Queue > 0 {
		load += (1 - SlotsFullLoad) * float64(g.queue.length) / float64(g.options.Queue)
	}
	return min(load, 1)
}

// Stats returns the gate's state.
func (g *Gate) Stats() Stats {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return Stats{
		Limit:    g.limit,
		InFlight: g.inFlight,
		Waiting:  g.queue.length,
		Draining: g.draining,
		Counts:   g.counts,
	}
}

func (g *Gate) shed(reason Reason) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.refuse(reason)
}

// refuse counts a refusal. The mutex is held.
func (g *Gate) refuse(reason Reason) error {
	g.counts.Shed++
	return newShed(reason, g.retryAfter(reason))
}

// retryAfter estimates when the present queue will have been served. Where the worker has a limit,
// each of those that are refused gets a turn of its own.
func (g *Gate) retryAfter(reason Reason) time.Duration {
	if g.draining || g.leaving {
		return maximumRetryAfter
	}
	expected := g.expectedWait(PriorityLow)
	if g.pacer != nil && reason != ReasonCanceled {
		expected = max(expected, g.pacer.Turn(g.now()))
	}
	return min(max(expected, minimumRetryAfter), maximumRetryAfter)
}

func contextReason(err error) Reason {
	if errors.Is(err, context.DeadlineExceeded) {
		return ReasonDeadline
	}
	return ReasonCanceled
}
