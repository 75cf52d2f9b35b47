package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Readers returns the identifiers of the nodes that read the store for all nodes: of
// the live nodes that can read it and that the given function reports reachable, those
// of the highest capacity, and among equals the first by a hash of their identifiers,
// from as many zones as possible. Nodes with different views may disagree; then a few
// more nodes read the store.
func Readers(view *View, reachable func(id string) bool, count int) []string {
	eligible := func(n *Node) bool {
		return n.State == StateLive && n.ReadsStore && (n.ID == view.self || reachable(n.ID))
	}
	var chosen []*Node
	taken := func(n *Node) bool { return slices.Contains(chosen, n) }
	for len(chosen) < count {
		more := bestOfZones(view.nodes, func(n *Node) bool { return !taken(n) && eligible(n) })
		if len(more) == 0 {
			break
		}
		if len(chosen) > 0 {
			// Each zone has a reader: the remaining ones may come from any zone.
			more = more[:1]
		}
		chosen = append(chosen, more[:min(len(more), count-len(chosen))]...)
	}
	ids := make([]string, 0, len(chosen))
	for _, n := range chosen {
		ids = append(ids, n.ID)
	}
	return ids
}

// bestOfZones returns the best eligible reader of each zone, the best of all first.
func bestOfZones(nodes []*Node, eligible func(n *Node) bool) []*Node {
	best := map[string]*Node{}
	for _, n := range nodes {
		if held := best[n.Zone]; (held == nil || compareReaders(n, held) < 0) && eligible(n) {
			best[n.Zone] = n
		}
	}
	list := make([]*Node, 0, len(best))
	for _, n := range best {
		list = append(list, n)
	}
	slices.SortFunc(list, compareReaders)
	return list
}

// compareReaders orders nodes by their suitability to read the store. The hash is computed only
// for equal capacities; most nodes differ in capacity.
func compareReaders(a, b *Node) int {
	if order := cmp.Compare(b.capacityClass(), a.capacityClass()); order != 0 {
		return order
	}
	return byScore(a, b)
}

// byScore orders nodes by a hash of their identifiers, so that the work does not always fall
// to the first node by name.
func byScore(a, b *Node) int {
	if order := cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)); order != 0 {
		return order
	}
	return cmp.Compare(a.ID, b.ID)
}
