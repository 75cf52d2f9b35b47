package forwarding

import "time"

// Figures of the choice between the own zone and others.
const (
	// otherZoneShare is how much later a call may be rather than take a KiB to another
	// zone and back, as a share of its route's target latency: bytes between zones are
	// paid for. headBytes is the size of the heads of a call.
	otherZoneShare = 0.07
	headBytes      = 700
	// otherZoneMost bounds that share.
	otherZoneMost = 1.0
	// otherZoneDelay is the distance of another zone.
	otherZoneDelay = 3 * time.Millisecond
	// leastOwnZoneWaitShare is the least share of its patience that a long body waits in its own zone
	// rather than cross to another. The share is drawn for each body, up to the whole
	// patience: not all leave a zone, nor come to another, at the same time.
	leastOwnZoneWaitShare = 0.5
	// otherZoneWaitShare is the share of its patience for which a long body may wait in another
	// zone. It is less than leastStay: where all links are full nothing is gained by
	// crossing, and bodies of the other zone would be refused for it.
	otherZoneWaitShare = 0.25
)

// longWait returns for how long a call with a long body may wait at a worker, of the
// patience that it has left: as a guest in another zone for little, and in its own zone so
// long that it can still be a guest afterwards. last tells that no other worker is asked.
func longWait(waitLimit time.Duration, otherZone, last bool) time.Duration {
	switch {
	case otherZone:
		return time.Duration(otherZoneWaitShare * float64(waitLimit))
	case last:
		return waitLimit
	default:
		return time.Duration((1 - otherZoneWaitShare) * float64(waitLimit))
	}
}

// otherZonePrice is the delay, in nanoseconds, that a request may rather have in its own
// zone than cross to another one. Where links are full a long body never prefers a wait that
// is longer than it may wait at all: its own zone would refuse it, and other links are free.
func otherZonePrice(w criteria) float64 {
	if w.otherZones {
		return 0
	}
	kibibytes := float64(w.bytes+headBytes) / 1024
	price := min(otherZoneShare*kibibytes, otherZoneMost) * float64(w.target)
	if !w.linksFull || w.waitLimit <= 0 {
		return price
	}
	stay := leastOwnZoneWaitShare + (1-leastOwnZoneWaitShare)*w.draw
	return min(price, stay*float64(w.waitLimit))
}
