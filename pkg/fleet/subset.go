package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Subset returns the nodes, of those given, that one node sends its calls to: at
// most total of them, and of these at most near from its own zone unless the other
// zones have too few. Each node gets a subset of its own, so that together they
// spread evenly; a node that comes or goes changes few of them.
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

// rank orders nodes by a score that differs from one ranking node to the next.
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
