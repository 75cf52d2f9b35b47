package slotqueue

import (
	"context"
	"time"

	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/pace"
)

const (
	// initialHold is the assumed time for which a request holds a slot until one was
	// observed.
	initialHold = 20 * time.Millisecond
	// startWeight is the weight of one more start in the moving shares of the ranks, which
	// are thus means over some 50 starts.
	startWeight = 0.02
	// holdWeight is the weight of one more observation in the moving averages of hold and
	// pace.
	holdWeight = 0.05
	// slowestPace and fastestPace bound the observed pace of a worker.
	slowestPace = 20.0
	fastestPace = 0.1
)

// Request describes one request to a Queue.
type Request struct {
	// Rank orders requests; the lowest starts first.
	Rank int
	// Tenant names the tenant that the request belongs to; empty where there are no
	// tenants.
	Tenant string
	// Work is how long the request is expected to hold a slot of a worker of usual speed;
	// zero when unknown.
	Work time.Duration
	// Due is the time until which the answer has its full value; zero when unknown.
	Due time.Time
	// LatestStart is the time after which a start is no longer useful.
	LatestStart time.Time
}

// Queue admits requests to the slots of one worker. It is safe for concurrent use.
type Queue struct {
	mutex   contain.Mutex
	slots   int
	running []*entry
	waiting waitQueue
	demand  demand
	// starts is the moving share of each rank in the requests that have started.
	starts       map[int]float64
	lastSequence uint64
	// hold is the moving average of the time for which requests hold their slots. pace is
	// the moving average of the ratio of that time to the time expected at a worker of
	// usual speed.
	hold   time.Duration
	pace   float64
	closed bool
	// heldBackSince is when the queue began to withhold a free slot from waiting requests;
	// zero when it withholds none.
	heldBackSince time.Time
	// recheckTimer is the timer after which the queue checks again whether to withhold a
	// slot.
	recheckTimer *time.Timer
	// pacer spaces the starts where the worker limits them; nil where it does not. paceAlarm is
	// set while it holds waiting requests up.
	pacer     *pace.Pacer
	paceAlarm pace.Alarm
	// runTimer runs the work of a timer.
	runTimer func(work func())
	// remainingScratch is the memory that expectedWait reuses for remaining times.
	remainingScratch []time.Duration
}

// New returns a queue for a worker with the given number of slots.
func New(slots int) *Queue {
	return &Queue{
		slots: max(slots, 1), hold: initialHold, pace: 1, starts: map[int]float64{},
		runTimer: func(work func()) { work() },
	}
}

// RunTimers has the work of the queue's timers done by a function, such as one that contains its
// panics. Call it before the queue is used.
func (q *Queue) RunTimers(run func(work func())) { q.runTimer = run }

// Wait returns how long a request of the last rank would wait now.
func (q *Queue) Wait() time.Duration { return q.Load().Wait() }

// Load returns the present state of the queue.
func (q *Queue) Load() Load {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	load := Load{Running: len(q.running), Waiting: q.waiting.count, Slots: q.slots, Hold: q.hold}
	if q.pacer != nil {
		load.Interval, load.NextStart = q.pacer.Interval(), q.pacer.Wait(q.waiting.count, time.Now())
	}
	return load
}

// SetSlots changes the number of slots. Running requests keep theirs.
func (q *Queue) SetSlots(slots int) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.slots = max(slots, 1)
	q.startWaiting(time.Now())
}

// Admit waits for a slot. Errors are ErrFull, ErrClosed and ErrAbandoned.
func (q *Queue) Admit(ctx context.Context, request Request) (Permit, error) {
	w, err := q.enter(request, time.Now())
	if err != nil {
		return Permit{}, err
	}
	if w.concluded == nil {
		return Permit{queue: q, entry: w}, nil
	}
	timer := time.NewTimer(time.Until(request.LatestStart))
	defer timer.Stop()
	select {
	case <-w.concluded:
	case <-timer.C:
		err = newFull(0)
	case <-ctx.Done():
		err = ErrAbandoned.New("the caller has gone away")
	}
	return q.conclude(w, err)
}

// Check returns the error that Admit would return at once; nil when the request would get a
// slot or a place in the queue.
func (q *Queue) Check(request Request) error {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.check(q.newEntry(request), time.Now())
}

// newEntry returns an entry with the time for which the request is expected to hold a slot
// of this worker. The mutex is held.
func (q *Queue) newEntry(request Request) *entry {
	w := &entry{Request: request, hold: q.hold}
	if request.Work > 0 {
		w.hold = time.Duration(q.pace * float64(request.Work))
	}
	return w
}

// check implements Check. The mutex is held.
func (q *Queue) check(w *entry, now time.Time) error {
	if q.closed {
		return ErrClosed.New("the worker takes no more requests")
	}
	if q.canStart(w, now) {
		return nil
	}
	wait := q.expectedWait(w, now)
	if now.Add(wait + q.lateStart()).After(w.LatestStart) {
		return newFull(wait)
	}
	return nil
}

// canStart reports whether a request could start at once. The mutex is held.
func (q *Queue) canStart(w *entry, now time.Time) bool {
	if len(q.running) >= q.slots || !q.pacer.Ready(now) {
		return false
	}
	if rank, waits := q.waiting.lowestRank(); waits && rank <= w.Rank {
		return false
	}
	return !q.withheldFrom(w, now)
}

// enter takes a slot or a place in the queue.
func (q *Queue) enter(request Request, now time.Time) (*entry, error) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	w := q.newEntry(request)
	if err := q.check(w, now); err != nil {
		return nil, err
	}
	q.demand.add(w.Rank, w.hold, now)
	if q.canStart(w, now) {
		q.start(w, now)
		return w, nil
	}
	if q.waiting.count == 0 {
		q.heldBackSince = time.Time{}
	}
	q.lastSequence++
	w.sequence = q.lastSequence
	w.concluded = make(chan struct{})
	q.waiting.add(w, now)
	q.startWaiting(now)
	return w, nil
}

// expectedWait returns how long a request would wait for a slot, and for the limit where there is
// one. The mutex is held.
func (q *Queue) expectedWait(w *entry, now time.Time) time.Duration {
	if q.pacer == nil {
		return q.slotWait(w, now)
	}
	wait := q.pacedWait(w.Rank, now)
	if len(q.running)+q.waiting.countUpTo(w.Rank) < q.slots {
		return wait
	}
	return max(wait, q.slotWait(w, now))
}

// slotWait returns how long a request would wait for a slot: the requests ahead of it, and those
// of lower ranks that arrive meanwhile and go first, have to start before it. The mutex is
// held.
func (q *Queue) slotWait(w *entry, now time.Time) time.Duration {
	if w.Work == 0 {
		return q.meanWait(w.Rank)
	}
	q.remainingScratch = q.remainingScratch[:0]
	for _, r := range q.running {
		q.remainingScratch = append(q.remainingScratch, r.remaining(now))
	}
	wait := expectedStartDelay(q.waiting.slotTimeAhead(w, now), q.remainingScratch, q.slots)
	taken := q.demand.busySlotsBelow(w.Rank, now)
	overtaking := min(taken/float64(q.slots), maxOvertakingShare)
	return time.Duration(float64(wait) / (1 - overtaking))
}

// meanWait returns how long a request of a rank would wait if all requests took the mean
// time. It is the best estimate for a request of unknown work. The mutex is held.
func (q *Queue) meanWait(rank int) time.Duration {
	turn := time.Duration(q.waiting.countUpTo(rank) + 1)
	wait := turn * q.hold / time.Duration(q.slots)
	return time.Duration(float64(wait) / (1 - q.overtakingShare(rank)))
}

// overtakingShare returns the share of the starts that requests of lower ranks, which go first,
// have taken recently. The mutex is held.
func (q *Queue) overtakingShare(rank int) float64 {
	var overtaking float64
	for started, share := range q.starts {
		if started < rank {
			overtaking += share
		}
	}
	return min(overtaking, maxOvertakingShare)
}

// start gives a slot to a request. The mutex is held.
func (q *Queue) start(w *entry, now time.Time) {
	for rank := range q.starts {
		q.starts[rank] *= 1 - startWeight
	}
	q.starts[w.Rank] += startWeight
	q.pacer.Take(now)
	w.startedAt, w.index = now, len(q.running)
	q.running = append(q.running, w)
}

// conclude settles which came first, the slot or the end of the wait given by err, and
// undoes a slot or a place in the queue that is no longer used.
func (q *Queue) conclude(w *entry, err error) (Permit, error) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	select {
	case <-w.concluded:
		if w.refusal != nil {
			return Permit{}, w.refusal
		}
		if err == nil {
			return Permit{queue: q, entry: w}, nil
		}
		q.releaseSlot(w)
	default:
		q.waiting.remove(w)
	}
	return Permit{}, err
}

// releaseSlot frees the slot of a running request. The mutex is held.
func (q *Queue) releaseSlot(r *entry) {
	last := len(q.running) - 1
	q.running[r.index] = q.running[last]
	q.running[r.index].index = r.index
	q.running[last] = nil
	q.running = q.running[:last]
	q.startWaiting(time.Now())
}

// startWaiting gives free slots to waiting requests. The mutex is held.
func (q *Queue) startWaiting(now time.Time) {
	defer q.refuseOverdue(now)
	for len(q.running) < q.slots && q.waiting.count > 0 {
		if !q.pacer.Ready(now) {
			q.paceAlarm.Set(q.pacer.Wait(0, now), func() { q.runTimer(q.continueAtPace) })
			return
		}
		if q.holdBack(now) {
			return
		}
		next := q.waiting.next(now)
		q.start(next, now)
		close(next.concluded)
	}
}

// refuseOverdue refuses requests that have become late and now have so many others ahead
// of them that they are not expected to start by their LatestStart, so that their callers
// are notified while there is time left to retry. The mutex is held.
func (q *Queue) refuseOverdue(now time.Time) {
	for _, w := range q.waiting.overdue {
		if !w.startedAt.IsZero() || w.refusal != nil {
			continue
		}
		q.waiting.remove(w)
		wait := q.expectedWait(w, now)
		if !now.Add(wait).After(w.LatestStart) {
			q.waiting.add(w, now)
			continue
		}
		w.refusal = newFull(wait)
		close(w.concluded)
	}
	clear(q.waiting.overdue)
	q.waiting.overdue = q.waiting.overdue[:0]
}

// Close refuses the waiting requests and all later ones.
func (q *Queue) Close() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.closed = true
	q.paceAlarm.Stop()
	for q.waiting.count > 0 {
		w := q.waiting.next(time.Now())
		w.refusal = ErrClosed.New("the worker takes no more requests")
		close(w.concluded)
	}
}
