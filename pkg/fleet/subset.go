package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Subset returns those of the given nodes to which one node sends its calls: at
// most total of them, and of these at most near from its own zone unless the other
// zones have too few nodes to fill the rest. Each node gets its own subset, so that
// the load spreads evenly; a node that joins or leaves changes few subsets.
func Subset(nodes []*Node, self, zone string, near, total int) []*Node {
	if len(nodes) <= total {
		return nodes
	}
	ranked := rank(nodes, self)
	chosen := make([]*Node, 0, total)
	var spare []*Node
	distant := len(ranked) - countIn(ranked, zone)
	near = max(near, total-distant)
	for _, n := range ranked {
		switch {
		case n.Zone != zone:
			spare = append(spare, n)
		case len(chosen) < near:
			chosen = append(chosen, n)
		}
	}
	return append(chosen, spare[:min(len(spare), total-len(chosen))]...)
}

func countIn(nodes []*Node, zone string) int {
	n := 0
	for _, node := range nodes {
		if node.Zone == zone {
			n++
		}
	}
	return n
}

// rank orders nodes by a hash that depends on the ranking node too, so that each node
// ranks them differently.
func rank(nodes []*Node, self string) []*Node {
	type scored struct {
		*Node
		score uint64
	}
	list := make([]scored, 0, len(nodes))
	var d xxhash.Digest
	for _, n := range nodes {
		d.Reset()
		_, _ = d.WriteString(self)
		_, _ = d.WriteString("\x00")
		_, _ = d.WriteString(n.ID)
		list = append(list, scored{n, d.Sum64()})
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.ID, b.ID))
	})
	ranked := make([]*Node, len(list))
	for i, s := range list {
		ranked[i] = s.Node
	}
	return ranked
}
