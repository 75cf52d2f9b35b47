package forwarding

import (
	"math"
	"time"
)

const (
	// linkWaitWeight is the weight of one more reported wait in the mean of a zone.
	linkWaitWeight = 0.1
	// linkWaitDecay is the time over which that mean decays to 1/e, so that a zone that this node
	// has stopped sending calls to is tried again.
	linkWaitDecay = 2 * time.Second
)

// fullShare is the mean wait of a long body for a link, as a share of its wait limit, above which
// the links of a zone count as full.
const fullShare = 0.1

// linkWaits holds how long bodies wait for the links of a service's workers, by zone, as far as
// this node knows. One worker reports its wait to this node only now and then; without the mean
// of its zone, the worker whose report is oldest would appear to have a free link. The zero value
// has no reports.
type linkWaits struct{ byZone map[string]linkWait }

// linkWait is the mean of the waits reported by workers of one zone, as of its last change.
type linkWait struct {
	mean time.Duration
	at   time.Time
}

// at returns the mean of a zone at the given time.
func (l *linkWaits) at(zone string, now time.Time) time.Duration {
	w := l.byZone[zone]
	if w.mean <= 0 {
		return 0
	}
	return time.Duration(float64(w.mean) * math.Exp(-float64(now.Sub(w.at))/float64(linkWaitDecay)))
}

// full reports whether the links of a zone count as full for long bodies with the given wait
// limit.
func (l *linkWaits) full(zone string, waitLimit time.Duration, now time.Time) bool {
	return float64(l.at(zone, now)) > fullShare*float64(waitLimit)
}

// observe adds a wait reported by a worker of the zone.
func (l *linkWaits) observe(zone string, reported time.Duration, now time.Time) {
	if l.byZone == nil {
		l.byZone = map[string]linkWait{}
	}
	mean := l.at(zone, now)
	l.byZone[zone] = linkWait{mean: mean + time.Duration(linkWaitWeight*float64(reported-mean)), at: now}
}

// expected returns how long a long body is expected to wait for the link of a worker of the zone
// that reported a wait at the given time.
func (l *linkWaits) expected(zone string, reported time.Duration, reportedAt, now time.Time) time.Duration {
	fresh := max(1-float64(now.Sub(reportedAt))/float64(reportDecay), 0)
	return time.Duration(fresh*float64(reported) + (1-fresh)*float64(l.at(zone, now)))
}
