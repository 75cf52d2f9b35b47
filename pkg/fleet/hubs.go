package fleet

import (
	"cmp"
	"slices"
)

// Hubs orders nodes by their suitability to collect the updates of their zone: live
// nodes before leaving ones, the highest capacity first, and then by a hash
// of their identifiers, so that all nodes with the same view agree.
func Hubs(nodes []*Node) []*Node {
	ordered := slices.Clone(nodes)
	slices.SortFunc(ordered, compareHubs)
	return ordered
}

// Hub returns the first of the nodes that Hubs returns; nil when there are none.
func Hub(nodes []*Node) *Node {
	if len(nodes) == 0 {
		return nil
	}
	return slices.MinFunc(nodes, compareHubs)
}

func compareHubs(a, b *Node) int {
	if order := cmp.Compare(a.State, b.State); order != 0 {
		return order
	}
	return compareReaders(a, b)
}

// Partners returns the nodes with which one node makes anti-entropy exchanges: some of
// its own zone and some of other zones. They differ from node to node, and stay the same
// as long as these nodes stay. Together they connect the mesh, with few connections each.
func Partners(nodes []*Node, self, zone string, near, far int) []*Node {
	partners := make([]*Node, 0, near+far)
	for _, n := range rank(nodes, self) {
		switch {
		case n.Zone == zone && near > 0:
			near--
		case n.Zone != zone && far > 0:
			far--
		default:
			continue
		}
		partners = append(partners, n)
	}
	return partners
}
