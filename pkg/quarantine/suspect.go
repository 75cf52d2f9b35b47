package quarantine

import (
	"slices"
	"time"
)

const (
	// recentEnds is how long the end of a worker tells that workers end for other reasons,
	// too, and maximumEnds bounds how many are remembered.
	recentEnds  = 10 * time.Second
	maximumEnds = 64
	// fewEnds and manyEnds are how many workers have ended lately without a request from
	// where on one and two crashes more are asked for. While one worker in four seconds
	// ends for a reason of its own, three in a row are lost by 0.66 of 10,000 innocent
	// tries, and five by none of 160,000 (TestWaysToTellGuiltyFromInnocent).
	fewEnds  = 1
	manyEnds = 4
	// mostExtra is how many crashes more are asked for at most.
	mostExtra = 2
)

// suspect is the evidence on one request that is not quarantined.
type suspect struct {
	crashes []crash
	// answered is when a worker has answered it whole; zero when none has.
	answered time.Time
	// lifted is when an operator has lifted what was known; zero when none has.
	lifted time.Time
	// touched is when evidence came last.
	touched time.Time
}

// crash is one worker that ended with the request in hand.
type crash struct {
	instance string
	level    int
	at       time.Time
}

// guilty reports whether the evidence is enough to quarantine a request. The mutex is held.
func (t *Table) guilty(s *suspect, now time.Time) bool {
	level, crashes := t.weigh(s, now)
	limit := t.options.Limit + t.extra(s, now)
	// A request that comes several times at once would crash a worker for each copy of
	// each round: the last round may be left out when there are many.
	copies := level >= limit-1 && crashes > limit || level >= t.options.Limit-1 && crashes >= 2*t.options.Limit
	return level >= limit || copies
}

// extra returns how many crashes more than usual are asked for, since workers end without
// the request, too. The mutex is held.
func (t *Table) extra(s *suspect, now time.Time) int {
	others := 0
	for instance, at := range t.ends {
		if now.Sub(at) <= recentEnds && !s.has(instance) && !t.explained(instance) {
			others++
		}
	}
	switch {
	case others >= manyEnds:
		return mostExtra
	case others >= fewEnds:
		return 1
	default:
		return 0
	}
}

func (s *suspect) has(instance string) bool {
	return slices.ContainsFunc(s.crashes, func(c crash) bool { return c.instance == instance })
}

// enterEnd remembers that a worker has ended. The mutex is held.
func (t *Table) enterEnd(instance string, at time.Time) {
	t.ends[instance] = later(t.ends[instance], at)
	if len(t.ends) <= maximumEnds {
		return
	}
	oldest := instance
	for other, ended := range t.ends {
		if ended.Before(t.ends[oldest]) {
			oldest = other
		}
	}
	delete(t.ends, oldest)
}

// enter adds a crash. A worker that ended counts once, at the highest level that was told.
func (s *suspect) enter(c crash) {
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

// outweighs reports whether something speaks for the request that counts more than a crash
// at the given time.
func (s *suspect) outweighs(crash time.Time) bool {
	answered := !s.answered.IsZero() && crash.Sub(s.answered) < answerMemory
	return answered || !crash.After(s.lifted)
}

// weigh returns how many crashes one after the other speak against a request, and how
// many in all. The mutex is held.
func (t *Table) weigh(s *suspect, now time.Time) (level, crashes int) {
	for _, c := range s.crashes {
		if s.outweighs(c.at) || now.Sub(c.at) > t.options.Memory || t.explained(c.instance) {
			continue
		}
		level = max(level, c.level)
		crashes++
	}
	return min(level, crashes), crashes
}

// explained reports whether a worker has ended under a request that is quarantined: its
// end then speaks against no other one. The mutex is held.
func (t *Table) explained(instance string) bool {
	for _, v := range t.verdicts {
		if slices.Contains(v.Instances, instance) {
			return true
		}
	}
	return false
}

// makeRoom forgets a request when there are too many: the one with the fewest crashes,
// and of these the one of which nothing was heard for longest. The mutex is held.
func (t *Table) makeRoom() {
	if len(t.suspects) < t.options.Suspects {
		return
	}
	var chosen Fingerprint
	var weakest *suspect
	for f, s := range t.suspects {
		if weakest == nil || len(s.crashes) < len(weakest.crashes) ||
			len(s.crashes) == len(weakest.crashes) && s.touched.Before(weakest.touched) {
			chosen, weakest = f, s
		}
	}
	delete(t.suspects, chosen)
	delete(t.vouched, chosen)
}

// Suspects returns how many requests are suspected and not quarantined.
func (t *Table) Suspects() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.suspects)
}
