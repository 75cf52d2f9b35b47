package admission

import "time"

// verdict is the decision about a waiting request.
type verdict uint8

const (
	verdictNone verdict = iota
	verdictGranted
	verdictDisplaced
	verdictLeaving
)

// waiter is one request in the queue. Its fields are guarded by the gate's mutex;
// decided receives one value once the verdict is set.
type waiter struct {
	previous, next *waiter
	priority       Priority
	queued         bool
	verdict        verdict
	permit         Permit
	decided        chan struct{}
	timer          *time.Timer
}

// waiterPool holds waiters for reuse. It belongs to one gate.
type waiterPool struct{ free []*waiter }

// get returns a waiter whose timer fires after wait.
func (p *waiterPool) get(priority Priority, wait time.Duration) *waiter {
	if len(p.free) == 0 {
		return newWaiter(priority, wait)
	}
	last := len(p.free) - 1
	w := p.free[last]
	p.free = p.free[:last]
	w.priority = priority
	w.verdict = verdictNone
	w.permit = Permit{}
	w.timer.Reset(wait)
	return w
}

// put returns a waiter to the pool. Its verdict, if any, must have been received.
func (p *waiterPool) put(w *waiter) {
	w.timer.Stop()
	p.free = append(p.free, w)
}

func newWaiter(priority Priority, wait time.Duration) *waiter {
	return &waiter{
		priority: priority,
		decided:  make(chan struct{}, 1),
		timer:    time.NewTimer(wait),
	}
}

// decide sets the verdict and wakes the request. The waiter must have left the
// queue.
func (w *waiter) decide(v verdict) {
	w.verdict = v
	w.decided <- struct{}{}
}

// waitList is a first-in first-out list of waiters of one priority.
type waitList struct {
	first, last *waiter
	length      int
}

func (l *waitList) push(w *waiter) {
	w.previous, w.next = l.last, nil
	if l.last == nil {
		l.first = w
	} else {
		l.last.next = w
	}
	l.last = w
	l.length++
	w.queued = true
}

func (l *waitList) remove(w *waiter) {
	if w.previous == nil {
		l.first = w.next
	} else {
		w.previous.next = w.next
	}
	if w.next == nil {
		l.last = w.previous
	} else {
		w.next.previous = w.previous
	}
	w.previous, w.next = nil, nil
	l.length--
	w.queued = false
}

// waitQueue holds the waiters of all priorities.
type waitQueue struct {
	lists  [priorityCount]waitList
	length int
}

func (q *waitQueue) push(w *waiter) {
	q.lists[w.priority].push(w)
	q.length++
}

func (q *waitQueue) remove(w *waiter) {
	q.lists[w.priority].remove(w)
	q.length--
}

// popFirst removes the oldest waiter of the highest priority; nil when empty.
func (q *waitQueue) popFirst() *waiter {
	for p := priorityCount - 1; p >= 0; p-- {
		if w := q.lists[p].first; w != nil {
			q.remove(w)
			return w
		}
	}
	return nil
}

// popBelow removes the newest waiter of the lowest priority, if that is lower
// than priority; nil otherwise.
func (q *waitQueue) popBelow(priority Priority) *waiter {
	for p := Priority(0); p < priority; p++ {
		if w := q.lists[p].last; w != nil {
			q.remove(w)
			return w
		}
	}
	return nil
}

// ahead counts the waiters that are served before a new one of the given priority.
func (q *waitQueue) ahead(priority Priority) int {
	count := 0
	for p := priority; p < priorityCount; p++ {
		count += q.lists[p].length
	}
	return count
}
