package slotqueue

import (
	"math"
	"time"
)

// maxHoldBack bounds how long a slot may be left free for more urgent requests while others
// wait that could use it.
const maxHoldBack = 250 * time.Millisecond

// recheckInterval is the time after which the queue checks again whether to withhold slots,
// because demand decays meanwhile.
const recheckInterval = 25 * time.Millisecond

const (
	// arrivalDeviations is the number of standard deviations above the expected number of
	// arrivals for which slots are withheld.
	arrivalDeviations = 2.0
	// maxReservedShare is the largest share of the slots that may be left free.
	maxReservedShare = 0.5
	// longWorkFactor is how many times as long as a more urgent request one must hold its
	// slot for slots to be withheld from it: a request of similar length frees its slot
	// soon enough.
	longWorkFactor = 4
)

// holdBack reports whether the request whose turn it is has to leave the free slots to more
// urgent ones that are expected, and schedules the next check. The mutex is held.
//
// A long request that has started keeps its slot to the end: urgent requests that arrive
// before the next slot is free would have to wait for that or be refused. Holding back is
// meant for a burst of long work beside a steady stream of short, more urgent requests.
func (q *Queue) holdBack(now time.Time) bool {
	if !q.withheldFrom(q.waiting.peek(now), now) {
		q.heldBackSince = time.Time{}
		return false
	}
	if q.heldBackSince.IsZero() {
		q.heldBackSince = now
	}
	if now.Sub(q.heldBackSince) >= maxHoldBack {
		q.heldBackSince = time.Time{}
		return false
	}
	if q.recheckTimer == nil {
		q.recheckTimer = time.AfterFunc(recheckInterval, func() { q.runTimer(q.recheckHoldBack) })
	}
	return true
}

// recheckHoldBack starts waiting requests once slots are no longer withheld from them.
func (q *Queue) recheckHoldBack() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.recheckTimer = nil
	q.startWaiting(time.Now())
}

// withheldFrom reports whether the free slots are withheld from a request: more urgent,
// much shorter ones are expected to need as many before the next slot comes free. A request
// of unknown work is not known to be longer than others. The mutex is held.
func (q *Queue) withheldFrom(w *entry, now time.Time) bool {
	if w.Work == 0 {
		return false
	}
	free := float64(q.slots - len(q.running))
	if free > maxReservedShare*float64(q.slots) {
		return false
	}
	perSecond := q.demand.shorterArrivals(w.Rank, w.hold/longWorkFactor, now)
	if perSecond == 0 {
		return false
	}
	rate := 1 / float64(max(w.hold, minRemaining))
	for _, r := range q.running {
		rate += 1 / float64(max(r.remaining(now), minRemaining))
	}
	expected := perSecond * time.Duration(1/rate).Seconds()
	return free <= math.Round(expected+arrivalDeviations*math.Sqrt(expected))
}
