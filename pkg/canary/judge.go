package canary

import "math"

// Parameters of the statistical test. It is a cumulative sum (E. S. Page, Continuous
// inspection schemes, Biometrika 1954): evidence against the new version adds up, and
// evidence for it never takes the sum below zero, so that a fault that begins late is found
// as fast as one that is there from the start.
const (
	// alarm is the sum at which a version counts as bad: one of exp(alarm) good versions,
	// about 3,000, reaches it within as many requests as it takes to detect a bad one.
	alarm = 8.0
	// leastFailing is the failure rate that counts as usual even if the previous version has
	// none. moreFailing is by how much more a bad version fails.
	leastFailing = 0.01
	moreFailing  = 0.05
	// slowerBy is the natural logarithm of how many times slower a version must be to
	// count as bad: 2.5, since workers of one version differ by up to 2.3 times. logSpread
	// is the standard deviation of the logarithms of the run times of one route.
	slowerBy  = 0.92
	logSpread = 0.8
	// formerRuns is how many of the latest runs of the previous version define what is usual:
	// trouble that affects both versions alike soon counts as usual, however often Observe
	// is called.
	formerRuns = 300
	// leastFormerRuns is the least number of successful runs of the previous version that a
	// comparison of run times needs.
	leastFormerRuns = 20
)

// Tally sums up finished requests. The zero value holds none.
type Tally struct {
	// Runs is how many requests have ended, Failed how many of these failed.
	Runs, Failed float64
	// LogTime is the sum of the natural logarithms of the run times, in seconds, of
	// those that did not fail.
	LogTime float64
}

// Plus returns the sum of two tallies.
func (t Tally) Plus(other Tally) Tally {
	return Tally{Runs: t.Runs + other.Runs, Failed: t.Failed + other.Failed, LogTime: t.LogTime + other.LogTime}
}

// Minus returns what was added since an earlier tally.
func (t Tally) Minus(former Tally) Tally {
	return Tally{Runs: t.Runs - former.Runs, Failed: t.Failed - former.Failed, LogTime: t.LogTime - former.LogTime}
}

// scaled returns a share of the tally.
func (t Tally) scaled(share float64) Tally {
	return Tally{Runs: share * t.Runs, Failed: share * t.Failed, LogTime: share * t.LogTime}
}

// succeeded is how many requests did not fail.
func (t Tally) succeeded() float64 { return t.Runs - t.Failed }

// failing is the share of requests that failed.
func (t Tally) failing() float64 {
	if t.Runs == 0 {
		return 0
	}
	return t.Failed / t.Runs
}

// meanLogTime is the mean of the logarithms of the run times.
func (t Tally) meanLogTime() float64 { return t.LogTime / max(t.succeeded(), 1) }

// Judge compares a new version with the previous one, route by route. Create one with
// NewJudge.
type Judge struct {
	routes map[string]*comparison
}

// comparison holds the results of both versions on one route.
type comparison struct {
	// former is the tally of the latest runs of the previous version; it defines what is usual.
	former Tally
	// failures and slowness are the cumulative sums of the evidence against the new version.
	failures, slowness float64
}

// NewJudge returns a judge without observations.
func NewJudge() *Judge { return &Judge{routes: map[string]*comparison{}} }

// Observe adds the results of both versions on a route since the last call.
func (j *Judge) Observe(route string, former, next Tally) {
	c, known := j.routes[route]
	if !known {
		c = &comparison{}
		j.routes[route] = c
	}
	c.former = c.former.Plus(former)
	c.former = c.former.scaled(min(formerRuns/max(c.former.Runs, 1), 1))
	c.observeFailures(next)
	c.observeTimes(next)
}

// Bad returns the route on which the new version is bad, and the reason; false if it is not
// known to be bad on any route.
func (j *Judge) Bad() (route, reason string, bad bool) {
	for name, c := range j.routes {
		switch {
		case c.failures >= alarm:
			return name, "failures", true
		case c.slowness >= alarm:
			return name, "slow", true
		}
	}
	return "", "", false
}

func (c *comparison) observeFailures(next Tally) {
	usual := max(c.former.failing(), leastFailing)
	bad := min(usual+moreFailing, 1)
	if usual >= 1 {
		return
	}
	gain := next.Failed*math.Log(bad/usual) + next.succeeded()*math.Log(max((1-bad)/(1-usual), math.SmallestNonzeroFloat64))
	c.failures = max(c.failures+gain, 0)
}

func (c *comparison) observeTimes(next Tally) {
	if c.former.succeeded() < leastFormerRuns || next.succeeded() <= 0 {
		return
	}
	slower := next.meanLogTime() - c.former.meanLogTime()
	gain := next.succeeded() * (slower - slowerBy) / (logSpread * logSpread)
	c.slowness = max(c.slowness+gain, 0)
}
