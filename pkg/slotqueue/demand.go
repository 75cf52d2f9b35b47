package slotqueue

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// demandTimeConstant is the time constant of the average of arrivals: long enough for
	// some requests of each rank to reach a busy worker, and shorter than a burst.
	demandTimeConstant = time.Second
	// maxOvertakingShare bounds the estimated share of the slots that requests of lower
	// ranks, which go first, take from a request.
	maxOvertakingShare = 0.9
)

// demand is the recent demand for slots, by rank.
type demand struct {
	// ranks are in ascending order.
	ranks []rankDemand
}

// rankDemand is an exponentially decaying average of the demand of one rank.
type rankDemand struct {
	rank int
	at   time.Time
	// arrivals is the decayed number of requests, busy the slot time that they need.
	arrivals float64
	busy     time.Duration
}

// decay applies the decay since the last update.
func (r *rankDemand) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(r.at)) / float64(demandTimeConstant))
	r.arrivals *= factor
	r.busy = time.Duration(factor * float64(r.busy))
	r.at = now
}

// add counts a request that is expected to hold its slot for hold.
func (d *demand) add(rank int, hold time.Duration, now time.Time) {
	i, found := slices.BinarySearchFunc(d.ranks, rank, func(r rankDemand, rank int) int { return cmp.Compare(r.rank, rank) })
	if !found {
		d.ranks = slices.Insert(d.ranks, i, rankDemand{rank: rank, at: now})
	}
	r := &d.ranks[i]
	r.decay(now)
	r.arrivals++
	r.busy += hold
}

// busySlotsBelow returns how many slots the ranks below the given one, which go first, keep
// busy.
func (d *demand) busySlotsBelow(rank int, now time.Time) (slots float64) {
	for i := range d.ranks {
		r := &d.ranks[i]
		if r.rank >= rank {
			break
		}
		r.decay(now)
		slots += float64(r.busy) / float64(demandTimeConstant)
	}
	return slots
}

// shorterArrivals returns the arrivals per second of the ranks below the given one whose
// requests hold a slot for no longer than longest on average.
func (d *demand) shorterArrivals(rank int, longest time.Duration, now time.Time) (perSecond float64) {
	for i := range d.ranks {
		r := &d.ranks[i]
		if r.rank >= rank {
			break
		}
		r.decay(now)
		if float64(r.busy) <= r.arrivals*float64(longest) {
			perSecond += r.arrivals / demandTimeConstant.Seconds()
		}
	}
	return perSecond
}
