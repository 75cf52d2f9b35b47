package versionstore

import (
	"sync"

	"github.com/levertide/levertide/pkg/rollout"
)

// guard remembers the newest head seen, and tells when the store has gone back.
type guard struct {
	mutex sync.Mutex
	seen  rollout.Head
}

// newest returns the newest head seen.
func (g *guard) newest() rollout.Head {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.seen
}

// learn takes in a head that was once in the store.
func (g *guard) learn(head rollout.Head) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if head.Generation > g.seen.Generation {
		g.seen = head
	}
}

// check compares a head with the newest one that was seen before its read
// began. An older head that is newer than that is an answer that crossed
// another on the way, not a regression.
func (g *guard) check(found, seenBefore rollout.Head) error {
	if Regressed(found, seenBefore) {
		return withHead(ErrStoreRegressed.New(
			"the store holds head %d with version %d committed, but head %d with version %d was seen before",
			found.Generation, found.Committed, seenBefore.Generation, seenBefore.Committed), found)
	}
	g.learn(found)
	return nil
}

// Regressed reports whether a store that holds found has gone back behind
// seen, a head that it held before, or gives another history since.
func Regressed(found, seen rollout.Head) bool {
	switch {
	case found.Generation < seen.Generation:
		return true
	case found.Generation == seen.Generation:
		return !sameHead(found, seen)
	default:
		return found.Committed < seen.Committed || found.HighestUsed < seen.HighestUsed
	}
}

// sameHead compares all that decides anything; times are left out.
func sameHead(a, b rollout.Head) bool {
	return a.Generation == b.Generation &&
		a.Committed == b.Committed &&
		a.Proposed == b.Proposed &&
		a.HighestUsed == b.HighestUsed &&
		a.ApplyID == b.ApplyID
}
