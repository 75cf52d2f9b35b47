package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Readers returns the identifiers of the nodes that read the store for all: the
// first by a score of their identifiers among those that can and that the given
// function takes to be reachable, from as many zones as possible. Nodes with
// different views may disagree; then a few more read.
func Readers(view *View, reachable func(id string) bool, count int) []string {
	candidates := readerCandidates(view, reachable)
	chosen := make([]string, 0, count)
	zones := map[string]bool{}
	for _, distinct := range []bool{true, false} {
		for _, node := range candidates {
			if len(chosen) == count {
				return chosen
			}
			if slices.Contains(chosen, node.ID) || distinct && zones[node.Zone] {
				continue
			}
			zones[node.Zone] = true
			chosen = append(chosen, node.ID)
		}
	}
	return chosen
}

func readerCandidates(view *View, reachable func(id string) bool) []Node {
	var candidates []Node
	for _, node := range view.Nodes() {
		if node.State == StateLive && node.ReadsStore && (node.ID == view.self || reachable(node.ID)) {
			candidates = append(candidates, node)
		}
	}
	slices.SortFunc(candidates, func(a, b Node) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	return candidates
}
