package forwarding

import (
	"math"
	"time"

	"github.com/levertide/levertide/pkg/slotqueue"
)

const (
	// longTermDecay is the time after which the weight of an earlier observation in the long-term
	// mean has decayed to 1/e.
	longTermDecay = 5 * time.Second
	// unexplainedFactor is how many times longer than the reported slowness explains requests
	// must take before this node's own observations count too: requests of a route differ so much
	// among themselves that less can be chance.
	unexplainedFactor = 2.0
	// waitWeight is how much more waiting time counts in a score than the same time of work:
	// about the delay that one more request causes to all others together at a worker that is two
	// thirds full, 1/(1-2/3).
	waitWeight = 3.0
	// highestSlowness bounds the slowness that is accepted from a worker: higher values are
	// nonsense, and no time computed with them could be met.
	highestSlowness = 1000.0
	// maximumDeclines bounds how often one call may be declined by nodes whose workers are slower
	// than the node where the call began had estimated.
	maximumDeclines = 2
)

// decayingMean estimates a value that is reported now and then. The zero value has no report.
type decayingMean struct {
	// latest was reported last, at latestAt; longTerm is the mean over time.
	latest, longTerm float64
	latestAt         time.Time
}

// observe adds a value reported at the given time. One from before the latest is ignored.
func (m *decayingMean) observe(value float64, at time.Time) {
	switch {
	case at.Before(m.latestAt):
		return
	case m.latestAt.IsZero():
		m.longTerm = value
	default:
		weight := 1 - math.Exp(-float64(at.Sub(m.latestAt))/float64(longTermDecay))
		m.longTerm += weight * (value - m.longTerm)
	}
	m.latest, m.latestAt = value, at
}

// at returns the value to be expected at the given time: it decays from the latest to the
// long-term mean.
func (m *decayingMean) at(now time.Time) float64 {
	fresh := max(1-float64(now.Sub(m.latestAt))/float64(reportDecay), 0)
	return m.longTerm + min(fresh, 1)*(m.latest-m.longTerm)
}

// known reports whether a value was ever reported.
func (m *decayingMean) known() bool { return !m.latestAt.IsZero() }

// work returns how long, in nanoseconds, a request is expected to run at the endpoint, whose
// worker reports the given slowness; zero when it does not report any.
func (e *endpoint) work(w criteria, reported float64) float64 {
	if reported == 0 {
		return float64(w.work) * e.slowness
	}
	return float64(w.usual) * reported * max(e.slowness/unexplainedFactor, 1)
}

// waitCost returns the cost of the wait for a slot in a score, in nanoseconds. It has a higher
// weight at workers that report their slowness: all nodes choose the fastest of these, where each
// request that waits delays those behind it, and may wait in vain.
func waitCost(load slotqueue.Load) float64 {
	wait := float64(load.Wait())
	if load.Slowness > 0 {
		wait *= waitWeight
	}
	return wait
}

// slowestWorthwhile returns the slowness of the chosen worker beyond which the next best is
// expected to answer sooner, in spite of another round trip; zero when the worker reports no
// slowness or there is no next best.
func (c choice) slowestWorthwhile(work time.Duration) float64 {
	if c.load.Slowness == 0 || c.lead == longestLead {
		return 0
	}
	// The lead is no more precise than the noise in the scores.
	return c.load.Slowness*(1+scoreNoise) + float64(c.lead+shortRoundTrip)/float64(max(work, time.Millisecond))
}

// worthwhileWait returns how long the call may wait for a slot of the chosen worker before the
// next best is expected to answer sooner.
func (c choice) worthwhileWait() time.Duration {
	wait := max(c.lead, shallowWait)
	if c.load.Slowness > 0 || c.load.Interval > 0 {
		wait += c.load.Wait()
	}
	return wait
}

// declines reports whether a worker of the given slowness is slower than the call's limit; a
// limit or slowness of zero is not known.
func declines(slowness, slowest float64) bool {
	return slowest > 0 && slowness > slowest
}
