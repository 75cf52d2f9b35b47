package snapshot

import (
	"slices"

	"github.com/levertide/levertide/pkg/model"
)

// overlapping returns, in order, the out-of-scope entries for routes that overlap
// with a covered one: those that the snapshot has already, and new ones for the
// routes in others.
func (s *Snapshot) overlapping(covered, others []*entry) []*entry {
	var kept []*entry
	for _, item := range s.ofKind(model.KindOutOfScope) {
		if overlapsAny(*item.resource.OutOfScope, covered) {
			kept = append(kept, item)
		}
	}
	existing := len(kept)
	for _, item := range others {
		if overlapsAny(item.resource.Route.Match, covered) {
			kept = append(kept, newOutOfScopeEntry(item))
		}
	}
	if existing > 0 && existing < len(kept) {
		slices.SortFunc(kept, compareKeys)
	}
	return kept
}

func overlapsAny(match model.Match, covered []*entry) bool {
	for _, item := range covered {
		if match.Overlaps(item.resource.Route.Match) {
			return true
		}
	}
	return false
}

// newOutOfScopeEntry returns the entry that represents a route left out of the
// snapshot.
func newOutOfScopeEntry(route *entry) *entry {
	return newEntry(model.Resource{
		Key:        model.Key{Kind: model.KindOutOfScope, Name: route.key().Name},
		OutOfScope: &route.resource.Route.Match,
	})
}

func compareKeys(one, other *entry) int {
	if one.key().Less(other.key()) {
		return -1
	}
	return 1
}
