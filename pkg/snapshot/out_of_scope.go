package snapshot

import (
	"slices"

	"github.com/levertide/levertide/pkg/model"
)

// overlapping returns, in order, the entries that stand for routes out of scope
// which overlap with a covered one: those that the snapshot has already, and
// new ones for the other routes.
func (s *Snapshot) overlapping(covered, others []*entry) []*entry {
	var kept []*entry
	for _, item := range s.ofKind(model.KindOutOfScope) {
		if overlapsAny(*item.resource.OutOfScope, covered) {
			kept = append(kept, item)
		}
	}
	known := len(kept)
	for _, item := range others {
		if overlapsAny(item.resource.Route.Match, covered) {
			kept = append(kept, outOfScope(item))
		}
	}
	if known > 0 && known < len(kept) {
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

// outOfScope returns the entry that stands for a route which is not held.
func outOfScope(route *entry) *entry {
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
