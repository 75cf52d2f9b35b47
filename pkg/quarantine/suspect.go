package quarantine

import (
	"slices"
	"time"
)

const (
	// exitMemory is how long the exit of a worker counts as a sign that workers also end for
	// unrelated reasons. maximumExits bounds how many exits are remembered.
	exitMemory   = 10 * time.Second
	maximumExits = 64
	// fewExits and manyExits are thresholds on the number of recent exits of workers that
	// did not run a request: from fewExits on, one additional crash is required to
	// quarantine it, and from manyExits on, two.
	// While one worker in four seconds ends for an unrelated reason, 0.66 of 10,000 innocent
	// attempts lose three workers in a row, and none of 160,000 loses five
	// (TestWaysToTellGuiltyFromInnocent).
	fewExits  = 1
	manyExits = 4
	// maximumExtraCrashes is the largest number of additional crashes required.
	maximumExtraCrashes = 2
)

// suspect is the evidence on one request that is not quarantined.
type suspect struct {
	crashes []crash
	// answeredAt is when a worker last answered the request completely; zero if none has.
	answeredAt time.Time
	// liftedAt is when an operator last lifted the evidence; zero if none has.
	liftedAt time.Time
	// updatedAt is the time of the latest evidence.
	updatedAt time.Time
}

// crash is one worker that ended while it was running the request.
type crash struct {
	instance string
	level    int
	at       time.Time
}

// shouldQuarantine reports whether the evidence is enough to quarantine a request. The
// mutex is held.
func (t *Table) shouldQuarantine(s *suspect, now time.Time) bool {
	level, crashes := t.countCrashes(s, now)
	limit := t.options.Limit + t.extraCrashes(s, now)
	// A request that is sent in several copies at once crashes one worker per copy in each
	// round. When there are many crashes, the last round is not required.
	copies := level >= limit-1 && crashes > limit || level >= t.options.Limit-1 && crashes >= 2*t.options.Limit
	return level >= limit || copies
}

// extraCrashes returns how many additional crashes are required to quarantine a request,
// since workers have also ended without running it. The mutex is held.
func (t *Table) extraCrashes(s *suspect, now time.Time) int {
	unrelatedExits := 0
	for instance, at := range t.exits {
		if now.Sub(at) <= exitMemory && !s.hasCrashOf(instance) && !t.explainedByVerdict(instance) {
			unrelatedExits++
		}
	}
	switch {
	case unrelatedExits >= manyExits:
		return maximumExtraCrashes
	case unrelatedExits >= fewExits:
		return 1
	default:
		return 0
	}
}

func (s *suspect) hasCrashOf(instance string) bool {
	return slices.ContainsFunc(s.crashes, func(c crash) bool { return c.instance == instance })
}

// addExit records that a worker has ended. The mutex is held.
func (t *Table) addExit(instance string, at time.Time) {
	t.exits[instance] = later(t.exits[instance], at)
	if len(t.exits) <= maximumExits {
		return
	}
	oldest := instance
	for candidate, exitedAt := range t.exits {
		if exitedAt.Before(t.exits[oldest]) {
			oldest = candidate
		}
	}
	delete(t.exits, oldest)
}

// addCrash adds a crash. A worker that ended counts once, at the highest level reported.
func (s *suspect) addCrash(c crash) {
	for i := range s.crashes {
		if s.crashes[i].instance == c.instance {
			s.crashes[i].level = max(s.crashes[i].level, c.level)
			return
		}
	}
	if len(s.crashes) == maximumCrashes {
		s.crashes = s.crashes[1:]
	}
	s.crashes = append(s.crashes, c)
}

// supersedesCrash reports whether an answer or a lift by an operator outweighs a crash at
// the given time.
func (s *suspect) supersedesCrash(crashedAt time.Time) bool {
	answered := !s.answeredAt.IsZero() && crashedAt.Sub(s.answeredAt) < answerMemory
	return answered || !crashedAt.After(s.liftedAt)
}

// countCrashes returns the number of successive crashes that count against a request, and
// the number of all crashes that do. The mutex is held.
func (t *Table) countCrashes(s *suspect, now time.Time) (level, crashes int) {
	for _, c := range s.crashes {
		if s.supersedesCrash(c.at) || now.Sub(c.at) > t.options.Memory || t.explainedByVerdict(c.instance) {
			continue
		}
		level = max(level, c.level)
		crashes++
	}
	return min(level, crashes), crashes
}

// explainedByVerdict reports whether a worker ended while running a request that is
// quarantined: its exit is then no evidence against other requests. The mutex is held.
func (t *Table) explainedByVerdict(instance string) bool {
	for _, v := range t.verdicts {
		if slices.Contains(v.Instances, instance) {
			return true
		}
	}
	return false
}

// evictWeakestSuspect removes one suspect when the table is full: the one with the fewest
// crashes and, among these, the one with the oldest evidence. The mutex is held.
func (t *Table) evictWeakestSuspect() {
	if len(t.suspects) < t.options.Suspects {
		return
	}
	var chosen Fingerprint
	var weakest *suspect
	for f, s := range t.suspects {
		if weakest == nil || len(s.crashes) < len(weakest.crashes) ||
			len(s.crashes) == len(weakest.crashes) && s.updatedAt.Before(weakest.updatedAt) {
			chosen, weakest = f, s
		}
	}
	delete(t.suspects, chosen)
	delete(t.confirmed, chosen)
}

// Suspects returns the number of requests that are suspects and not quarantined.
func (t *Table) Suspects() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.suspects)
}
