package workers

import (
	"sync/atomic"
	"time"

	"github.com/levertide/levertide/pkg/contain"
)

// TermsKeeper keeps the terms of the worker beside a node and has its admission follow them. It is
// safe for concurrent use.
type TermsKeeper struct {
	// follow is called with the former and the new terms, one call at a time.
	follow func(before, known Terms)
	// special is set while the worker names a limit or leaves, usual while the last answer has
	// stated nothing: calls take no lock as long as nothing is stated.
	special, usual atomic.Bool

	mu      contain.Mutex
	tracker TermsTracker
}

// Paced is an admission that bounds how many requests it admits per second.
type Paced interface {
	SetLimit(perSecond float64)
	RemoveLimit()
}

// FollowLimit makes an admission follow a limit that may have changed.
func FollowLimit(admission Paced, before, known Limit) {
	switch {
	case known == before:
	case known.Set:
		admission.SetLimit(known.PerSecond)
	default:
		admission.RemoveLimit()
	}
}

// NewTermsKeeper returns a keeper that knows of no terms. Follow must not call it.
func NewTermsKeeper(follow func(before, known Terms)) *TermsKeeper {
	return &TermsKeeper{follow: follow}
}

// Observe records the terms of an answer that has arrived, to a request that was sent at sentAt. It
// returns the terms before and those that are known now.
func (k *TermsKeeper) Observe(stated Terms, sentAt time.Time) (before, known Terms) {
	usual := stated == Terms{}
	if usual && k.usual.Load() && !k.special.Load() {
		return Terms{}, Terms{}
	}
	return k.update(func(tracker *TermsTracker) {
		k.usual.Store(usual)
		tracker.Observe(stated, sentAt, time.Now())
	})
}

// Adopt records what another node tells. It returns the terms before and those that are known now.
func (k *TermsKeeper) Adopt(news TermsNews) (before, known Terms) {
	return k.update(func(tracker *TermsTracker) {
		tracker.Adopt(news.Terms, time.Now().Add(-news.Age))
	})
}

func (k *TermsKeeper) update(change func(*TermsTracker)) (before, known Terms) {
	k.mu.Lock()
	defer k.mu.Unlock()
	before = k.tracker.Terms()
	change(&k.tracker)
	known = k.tracker.Terms()
	if known != before {
		k.special.Store(known != Terms{})
		k.follow(before, known)
	}
	return before, known
}

// News returns what other nodes are told; false when there is nothing to tell.
func (k *TermsKeeper) News() (TermsNews, bool) {
	if !k.special.Load() {
		return TermsNews{}, false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return TermsNews{Terms: k.tracker.Terms(), Age: time.Since(k.tracker.StatedAt())}, true
}

// Terms returns the known terms.
func (k *TermsKeeper) Terms() Terms {
	news, _ := k.News()
	return news.Terms
}
