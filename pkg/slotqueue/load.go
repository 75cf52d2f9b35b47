package slotqueue

import "time"

// Load is the state of a queue at one moment.
type Load struct {
	Running, Waiting, Slots int
	// Hold is the moving average of how long requests hold their slots.
	Hold time.Duration
	// Interval is the mean time between two starts that the worker's limit allows, and NextStart
	// how long another request would wait for the limit; both zero where there is none.
	Interval, NextStart time.Duration
	// Transfer is how long a long body would wait before it could be sent over the link to
	// the worker's machine. A queue does not know it; the owner of the link fills it in.
	Transfer time.Duration
	// Failing is the recent share of requests that failed at the worker, from 0 to 1. A
	// queue does not know it either.
	Failing float64
	// Slowness is how long work takes at the worker at present, relative to the usual, as
	// the worker itself reports; zero when it does not report it. A queue does not know it
	// either.
	Slowness float64
}

// Wait returns how long a request of the last rank would wait for a slot, and for the limit where
// there is one.
func (l Load) Wait() time.Duration {
	if l.Running < l.Slots && (l.Waiting == 0 || l.Interval > 0) {
		return l.NextStart
	}
	return max(time.Duration(l.Waiting+1)*l.Hold/time.Duration(l.Slots), l.NextStart)
}
