package quarantine

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Report is one piece of evidence. A report is never changed once it has been returned.
type Report struct {
	Fingerprint Fingerprint
	// Instance is the worker that has ended; empty when Answered or Lifted.
	Instance string
	// Level is the number of successive crashes of the request, including this one: the
	// run that crashed began when Level-1 crashes were known.
	Level int
	// Answered reports that a worker has answered the request completely.
	Answered bool
	// Lifted reports that an operator has lifted the evidence against the request.
	Lifted bool
	// Age is how old the evidence was when the report was made.
	Age time.Duration
}

// Reports returns evidence on requests that are not quarantined, at most limit pieces. The
// pieces with the greatest weight come first. Among equal weights the choice is random, so
// that nodes which exchange reports repeatedly converge to the same evidence.
func (t *Table) Reports(limit int, now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports []Report
	for f, s := range t.suspects {
		if !s.answeredAt.IsZero() {
			reports = append(reports, Report{Fingerprint: f, Answered: true, Age: now.Sub(s.answeredAt)})
		}
		if !s.liftedAt.IsZero() {
			reports = append(reports, Report{Fingerprint: f, Lifted: true, Age: now.Sub(s.liftedAt)})
		}
		for _, c := range s.crashes {
			reports = append(reports, Report{Fingerprint: f, Instance: c.instance, Level: c.level, Age: now.Sub(c.at)})
		}
	}
	rand.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
	slices.SortStableFunc(reports, func(a, b Report) int { return cmp.Compare(b.weight(), a.weight()) })
	return reports[:min(len(reports), limit)]
}

// weight orders reports by importance. Single crashes weigh least: there are many, and
// nearly all are of innocent requests.
func (r Report) weight() int {
	if r.Lifted {
		return DefaultLimit
	}
	return max(r.Level, 1)
}

// Digest returns a digest of all evidence and verdicts: two nodes with the same digest
// hold the same.
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
		if !s.answeredAt.IsZero() {
			sum ^= xxhash.Sum64(fmt.Appendf(f[:], " answered"))
		}
		if !s.liftedAt.IsZero() {
			sum ^= xxhash.Sum64(fmt.Appendf(f[:], " lifted"))
		}
		for _, c := range s.crashes {
			sum ^= xxhash.Sum64(fmt.Appendf(f[:], " %s %d", c.instance, c.level))
		}
	}
	return sum
}
