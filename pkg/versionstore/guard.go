package versionstore

import (
	"sync"

	"github.com/levertide/levertide/pkg/rollout"
)

// guard remembers the newest head seen and detects a regression of the store.
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

// observe records a head that was once in the store, if it is the newest.
func (g *guard) observe(head rollout.Head) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if head.Generation > g.seen.Generation {
		g.seen = head
	}
}

// check compares a head with seenBefore, the newest one seen before its read
// began. A head that is newer than seenBefore but older than one seen since is a
// response overtaken by another one, not a regression.
func (g *guard) check(found, seenBefore rollout.Head) error {
	if Regressed(found, seenBefore) {
		return withHead(ErrStoreRegressed.New(
			"the store holds head %d with version %d committed, but head %d with version %d was seen before",
			found.Generation, found.Committed, seenBefore.Generation, seenBefore.Committed), found)
	}
	g.observe(found)
	return nil
}

// Regressed reports whether a store that holds found is older than seen, a head
// that it held before, or has a history that diverges from seen.
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

// sameHead compares all fields that affect the rollout. Times and the last
// rejection are left out.
func sameHead(a, b rollout.Head) bool {
	return a.Generation == b.Generation &&
		a.Committed == b.Committed &&
		a.Proposed == b.Proposed &&
		a.HighestUsed == b.HighestUsed &&
		a.ApplyID == b.ApplyID
}
