package slotqueue

import "time"

// Permit is the right to run one request. The zero value stands for none.
type Permit struct {
	queue *Queue
	entry *entry
}

// Release frees the slot. observed states that the time for which it was held is
// representative of the worker's speed.
func (p Permit) Release(observed bool) {
	if p.queue == nil {
		return
	}
	now := time.Now()
	q := p.queue
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if observed {
		q.observe(p.entry, now.Sub(p.entry.startedAt))
	}
	q.releaseSlot(p.entry)
}

// observe updates hold and pace with the time for which a request has held its slot. The
// mutex is held.
func (q *Queue) observe(r *entry, held time.Duration) {
	q.hold += time.Duration(holdWeight * float64(held-q.hold))
	if r.Work == 0 {
		return
	}
	pace := float64(held) / float64(r.Work)
	q.pace += holdWeight * (min(max(pace, fastestPace), slowestPace) - q.pace)
}
