package forwarding

import "time"

// Parameters of the choice between the node's own zone and others.
const (
	// otherZoneShare is the delay, as a share of the route's target latency, that a call accepts
	// per KiB rather than send it to another zone and back: bytes between zones are paid for.
	// headBytes is the size of the request and response heads of a call.
	otherZoneShare = 0.07
	headBytes      = 700
	// otherZoneMost bounds that delay, as a share of the target latency.
	otherZoneMost = 1.0
	// otherZoneDelay is the network delay to another zone.
	otherZoneDelay = 3 * time.Millisecond
	// leastOwnZoneWaitShare is the least share of its wait limit that a long body waits in its
	// own zone rather than cross to another. The share is drawn for each body, up to the full
	// wait limit, so that not all bodies leave a zone, or arrive in another, at the same time.
	leastOwnZoneWaitShare = 0.5
	// otherZoneWaitShare is the share of its wait limit for which a long body may wait in another
	// zone. It is less than leastOwnZoneWaitShare: where all links are full nothing is gained by
	// crossing, and bodies of the other zone would be refused for it.
	otherZoneWaitShare = 0.25
)

// longWait returns how long a call with a long body may wait at a worker, given what is left of
// its wait limit: in another zone briefly, and in its own zone so long that it can still
// wait in another zone afterwards. last is set when no other worker gets an offer.
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

// otherZonePrice returns the delay, in nanoseconds, that a request accepts in its own zone rather
// than cross to another one. Where links are full a long body never accepts more delay than it
// may wait at all: its own zone would refuse it while other links are free.
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
