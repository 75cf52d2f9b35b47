package quarantine

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Report is one piece of evidence. A report that was handed out is never changed.
type Report struct {
	Fingerprint Fingerprint
	// Instance is the worker that has ended; empty when Answered or Lifted.
	Instance string
	// Level is how many crashes of the request were known one after the other, this
	// one included: the run that ended began when Level-1 were known.
	Level int
	// Answered tells that a worker has answered the request whole.
	Answered bool
	// Lifted tells that an operator has lifted what spoke against the request.
	Lifted bool
	// Age is how long ago that was, when the report was made.
	Age time.Duration
}

// Reports returns evidence on requests that are not quarantined, at most as many pieces as
// given: what weighs most, and of the rest a random choice, so that nodes which tell
// each other again and again come to hold the same.
func (t *Table) Reports(most int, now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports []Report
	for f, s := range t.suspects {
		if !s.answered.IsZero() {
			reports = append(reports, Report{Fingerprint: f, Answered: true, Age: now.Sub(s.answered)})
		}
		if !s.lifted.IsZero() {
			reports = append(reports, Report{Fingerprint: f, Lifted: true, Age: now.Sub(s.lifted)})
		}
		for _, c := range s.crashes {
			reports = append(reports, Report{Fingerprint: f, Instance: c.instance, Level: c.level, Age: now.Sub(c.at)})
		}
	}
	rand.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
	slices.SortStableFunc(reports, func(a, b Report) int { return cmp.Compare(b.weight(), a.weight()) })
	return reports[:min(len(reports), most)]
}

// weight orders reports: single crashes are many, and nearly all of innocent requests.
func (r Report) weight() int {
	if r.Lifted {
		return DefaultLimit
	}
	return max(r.Level, 1)
}

// Digest returns a digest of that evidence and of the verdicts: two nodes with the same
// digest hold the same.
func (t *Table) Digest() uint64 {
	if t.Empty() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum uint64
	for f := range t.verdicts {
		sum ^= xxhash.Sum64(fmt.Appendf(f[:], " quarantined"))
	}
	for f, s := range t.suspects {
		if !s.answered.IsZero() {
			sum ^= xxhash.Sum64(fmt.Appendf(f[:], " answered"))
		}
		if !s.lifted.IsZero() {
			sum ^= xxhash.Sum64(fmt.Appendf(f[:], " lifted"))
		}
		for _, c := range s.crashes {
			sum ^= xxhash.Sum64(fmt.Appendf(f[:], " %s %d", c.instance, c.level))
		}
	}
	return sum
}
