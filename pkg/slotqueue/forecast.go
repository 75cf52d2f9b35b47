package slotqueue

import (
	"slices"
	"time"
)

const (
	// minRemainingShare is the least remaining time that is expected of a running request,
	// as a share of the time that it has run: one that has run for longer than expected is
	// unlikely to end at once.
	minRemainingShare = 0.25
	// minRemaining keeps a request that is about to end from counting as ended.
	minRemaining = time.Millisecond
)

// remaining returns how much longer a running request is expected to hold its slot.
func (w *entry) remaining(now time.Time) time.Duration {
	held := now.Sub(w.startedAt)
	return max(w.hold-held, time.Duration(minRemainingShare*float64(held)))
}

// expectedStartDelay returns how long a request waits for its start when the slot time
// ahead is served before it. A slot serves queued requests from the time at which the
// request that it runs now ends. remaining holds the expected remaining times of the
// running requests and is modified. Where more requests run than there are slots, the first
// ones to end free no slot.
func expectedStartDelay(ahead time.Duration, remaining []time.Duration, slots int) time.Duration {
	spreadEnds(remaining)
	frees := remaining[max(len(remaining)-slots, 0):]
	serving := time.Duration(slots - len(frees))
	var at time.Duration
	for _, free := range frees {
		if serving > 0 && serving*(free-at) >= ahead {
			break
		}
		ahead -= serving * (free - at)
		at = free
		serving++
	}
	return at + ahead/serving
}

// spreadEnds replaces the expected remaining times of requests by the times at which the
// first, the second and so on of them is expected to end. The first of many ends well
// before the least of their expected times, because ends are taken to be exponentially
// distributed.
func spreadEnds(remaining []time.Duration) {
	slices.Sort(remaining)
	var rate float64
	for i, left := range slices.Backward(remaining) {
		rate += 1 / float64(max(left, minRemaining))
		remaining[i] = time.Duration(1 / rate)
	}
	for i := 1; i < len(remaining); i++ {
		remaining[i] += remaining[i-1]
	}
}
