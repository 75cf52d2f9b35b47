package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Hubs orders nodes by how well they suit to collect the news of their zone: those
// that stay before those that leave, the highest capacity first, and then by a hash
// of their identifiers, so that all nodes with the same view agree.
func Hubs(nodes []*Node) []*Node {
	ordered := slices.Clone(nodes)
	slices.SortFunc(ordered, func(a, b *Node) int {
		return cmp.Or(
			cmp.Compare(a.State, b.State),
			cmp.Compare(b.class(), a.class()),
			cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return ordered
}

// Partners returns the nodes that one node compares notes with: some of its own
// zone and some of others, different ones for each node, and the same as long as
// these nodes stay. Together they connect the mesh, over few connections each.
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
