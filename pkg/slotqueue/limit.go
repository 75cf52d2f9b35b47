package slotqueue

import (
	"time"

	"github.com/levertide/levertide/pkg/pace"
)

// SetLimit bounds how many requests start per second, whatever slots are free. Waiting requests
// that are not expected to start in time any more are refused, so that their callers learn it while
// they can go elsewhere.
func (q *Queue) SetLimit(perSecond float64) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := time.Now()
	if q.pacer == nil {
		q.pacer = pace.New(perSecond, now)
	} else {
		q.pacer.SetRate(perSecond, now)
	}
	q.paceAlarm.Stop()
	q.refuseBeyondLimit(now)
	q.startWaiting(now)
}

// RemoveLimit ends the bound of SetLimit.
func (q *Queue) RemoveLimit() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.paceAlarm.Stop()
	q.pacer = nil
	q.startWaiting(time.Now())
}

// Turn returns after which time somebody else who was refused because of the limit is to try again;
// zero when there is no limit. Each call gives another turn.
func (q *Queue) Turn() time.Duration {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.pacer.Turn(time.Now())
}

// refuseBeyondLimit refuses the waiting requests whose turn the limit allows too late. The mutex is
// held.
func (q *Queue) refuseBeyondLimit(now time.Time) {
	var kept []*entry
	for q.waiting.count > 0 {
		w := q.waiting.next(now)
		wait := q.pacer.Wait(len(kept), now)
		if now.Add(wait + q.lateStart()).After(w.LatestStart) {
			w.refusal = newFull(wait)
			close(w.concluded)
			continue
		}
		kept = append(kept, w)
	}
	for _, w := range kept {
		w.late = false
		q.waiting.add(w, now)
	}
}

// lateStart returns how much later than expected a start may come. Without it, a request whose turn
// under the limit comes just at its latest start waits all the time and is refused then. The mutex is
// held.
func (q *Queue) lateStart() time.Duration {
	if q.pacer == nil {
		return 0
	}
	return pace.TimerDelay
}

// pacedWait returns how long a request would wait for the limit: the requests that go before it
// start before it, and so do those of lower ranks that arrive meanwhile. The mutex is held.
func (q *Queue) pacedWait(rank int, now time.Time) time.Duration {
	wait := q.pacer.Wait(q.waiting.countUpTo(rank), now)
	return time.Duration(float64(wait) / (1 - q.overtakingShare(rank)))
}

// continueAtPace starts waiting requests once the limit allows the next start.
func (q *Queue) continueAtPace() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.paceAlarm.Rung()
	q.startWaiting(time.Now())
}
