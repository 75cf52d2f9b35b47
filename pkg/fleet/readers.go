package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Readers returns the identifiers of the nodes that read the store for all: among
// those that can and that the given function takes to be reachable, those of the
// highest capacity, and of these the first by a score of their identifiers, from
// as many zones as possible. Nodes with
// different views may disagree; then a few more read.
func Readers(view *View, reachable func(id string) bool, count int) []string {
	candidates := readerCandidates(view, reachable)
	chosen := make([]string, 0, count)
	zones := map[string]bool{}
	for len(chosen) < count && len(candidates) > 0 {
		i := bestReader(candidates, zones)
		best := candidates[i]
		chosen = append(chosen, best.ID)
		zones[best.Zone] = true
		candidates = slices.Delete(candidates, i, i+1)
	}
	return chosen
}

func readerCandidates(view *View, reachable func(id string) bool) []*Node {
	var candidates []*Node
	for _, n := range view.Nodes() {
		if n.State == StateLive && n.ReadsStore && (n.ID == view.self || reachable(n.ID)) {
			candidates = append(candidates, n)
		}
	}
	return candidates
}

// bestReader returns the place of the node that reads next, given the zones that
// have a reader already.
func bestReader(candidates []*Node, zones map[string]bool) int {
	best, bestScore := -1, uint64(0)
	for i, n := range candidates {
		score := xxhash.Sum64String(n.ID)
		if best < 0 || readsBefore(n, score, candidates[best], bestScore, zones) {
			best, bestScore = i, score
		}
	}
	return best
}

func readsBefore(a *Node, aScore uint64, b *Node, bScore uint64, zones map[string]bool) bool {
	if zones[a.Zone] != zones[b.Zone] {
		return zones[b.Zone]
	}
	return cmp.Or(cmp.Compare(b.class(), a.class()), cmp.Compare(aScore, bScore), cmp.Compare(a.ID, b.ID)) < 0
}
