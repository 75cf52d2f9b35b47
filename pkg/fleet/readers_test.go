package fleet

import (
	"cmp"
	"slices"
	"strconv"
	"testing"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"
)

// readersByDefinition chooses readers one at a time, as the definition of Readers says.
func readersByDefinition(nodes []*Node, count int) []string {
	left := slices.Clone(nodes)
	zones := map[string]bool{}
	var chosen []string
	for len(chosen) < count && len(left) > 0 {
		best := slices.MinFunc(left, func(a, b *Node) int {
			if zones[a.Zone] != zones[b.Zone] {
				if zones[b.Zone] {
					return -1
				}
				return 1
			}
			return cmp.Or(
				cmp.Compare(b.capacityClass(), a.capacityClass()),
				cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)),
				cmp.Compare(a.ID, b.ID),
			)
		})
		zones[best.Zone] = true
		chosen = append(chosen, best.ID)
		left = slices.DeleteFunc(left, func(n *Node) bool { return n == best })
	}
	return chosen
}

func TestReadersAreThoseOfTheDefinition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(Node{ID: "self", Zone: "z0", State: StateLive, ReadsStore: true})
		for n := range rapid.IntRange(0, 20).Draw(t, "nodes") {
			table.Merge([]Node{{
				ID: "n" + strconv.Itoa(n), Incarnation: 1, State: StateLive, ReadsStore: true,
				Zone:     "z" + strconv.Itoa(rapid.IntRange(0, 4).Draw(t, "zone")),
				Capacity: rapid.SampledFrom([]int{0, 20, 30, 200}).Draw(t, "capacity"),
			}})
		}
		count := rapid.IntRange(1, 6).Draw(t, "count")
		view := table.View()
		got := Readers(view, func(string) bool { return true }, count)
		if want := readersByDefinition(view.Nodes(), count); !slices.Equal(got, want) {
			t.Fatalf("%v, not %v", got, want)
		}
	})
}

func TestHubIsTheFirstOfTheHubs(t *testing.T) {
	nodes := benchmarkMesh(100).Nodes()
	if Hub(nodes) != Hubs(nodes)[0] || Hub(nil) != nil {
		t.Errorf("%v, not %v", Hub(nodes), Hubs(nodes)[0])
	}
}
