package workers

import (
	"sync/atomic"
	"time"

	"github.com/levertide/levertide/pkg/contain"
)

const (
	// maximumKnownTerms bounds the workers whose terms a table keeps, at some 200 bytes each.
	maximumKnownTerms = 4096
	// leavingRetention is how long a worker that was stated to leave is left out: its successor
	// may have the same instance and no known start.
	leavingRetention = 2 * time.Minute
)

// TermsTable keeps the terms of workers beside other nodes, as these nodes tell them. It holds only
// workers that name a limit or leave. It is safe for concurrent use; the zero value is empty.
type TermsTable struct {
	// count is the number of workers; calls take no lock while it is zero.
	count atomic.Int64
	mu    contain.Mutex
	// workers are by instance.
	workers map[string]*remoteTerms
}

// remoteTerms are the terms of one incarnation of a worker.
type remoteTerms struct {
	incarnation Incarnation
	tracker     TermsTracker
	heardAt     time.Time
}

// Of returns what is known of a worker; false when it names no limit and does not leave.
func (t *TermsTable) Of(incarnation Incarnation, now time.Time) (TermsNews, bool) {
	if t.count.Load() == 0 {
		return TermsNews{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.workers[incarnation.Instance]
	if known == nil || !known.incarnation.Same(incarnation) {
		return TermsNews{}, false
	}
	terms := known.tracker.Terms()
	terms.Leaving = terms.Leaving && now.Sub(known.heardAt) < leavingRetention
	return TermsNews{Terms: terms, Age: now.Sub(known.tracker.StatedAt())}, terms != Terms{}
}

// Leaving reports whether a worker is known to leave.
func (t *TermsTable) Leaving(incarnation Incarnation, now time.Time) bool {
	news, known := t.Of(incarnation, now)
	return known && news.Terms.Leaving
}

// Observe records what the node beside a worker tells with an answer to a request that was sent at
// sentAt. It returns the known terms, and whether they have changed.
func (t *TermsTable) Observe(incarnation Incarnation, told Terms, sentAt, now time.Time) (Terms, bool) {
	if t.count.Load() == 0 && told == (Terms{}) {
		return Terms{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.workers[incarnation.Instance]
	if known == nil || !known.incarnation.Same(incarnation) {
		if told == (Terms{}) {
			return Terms{}, false
		}
		known = &remoteTerms{incarnation: incarnation}
		t.insert(known)
	}
	changed := known.tracker.Observe(told, sentAt, now)
	known.heardAt = now
	if known.tracker.Terms() == (Terms{}) {
		delete(t.workers, incarnation.Instance)
	}
	t.count.Store(int64(len(t.workers)))
	return known.tracker.Terms(), changed
}

// insert adds the terms of a worker, in place of those that were heard of least recently when there
// are maximumKnownTerms. The mutex must be held.
func (t *TermsTable) insert(added *remoteTerms) {
	if t.workers == nil {
		t.workers = map[string]*remoteTerms{}
	}
	if len(t.workers) >= maximumKnownTerms {
		var oldest *remoteTerms
		for _, known := range t.workers {
			if oldest == nil || known.heardAt.Before(oldest.heardAt) {
				oldest = known
			}
		}
		delete(t.workers, oldest.incarnation.Instance)
	}
	t.workers[added.incarnation.Instance] = added
}
