package fleet_test

import (
	"fmt"

	"github.com/levertide/levertide/pkg/fleet"
)

func ExampleTable() {
	table := fleet.NewTable(fleet.Node{ID: "a", Incarnation: 1, State: fleet.StateLive})
	merged := table.Merge([]fleet.Node{
		{ID: "b", Incarnation: 2, Sequence: 1, State: fleet.StateLive},
		{ID: "b", Incarnation: 1, Sequence: 9, State: fleet.StateLeft}, // of a previous incarnation
	})
	fmt.Println(len(merged.Updates), "update,", len(table.View().Peers()), "peer")
	// Output: 1 update, 1 peer
}

func ExampleSpread() {
	peers := []*fleet.Node{{ID: "b"}, {ID: "c"}, {ID: "d"}, {ID: "e"}}
	for _, part := range fleet.Spread(peers, "a", "", "", 2) {
		fmt.Printf("one of %d nodes after %q, until %q, forwards to the others\n", len(part.Candidates), part.After, part.Until)
	}
	// Output:
	// one of 2 nodes after "", until "c", forwards to the others
	// one of 2 nodes after "c", until "e", forwards to the others
}
