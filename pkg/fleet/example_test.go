package fleet_test

import (
	"fmt"

	"github.com/levertide/levertide/pkg/fleet"
)

func ExampleTable() {
	table := fleet.NewTable(fleet.Node{ID: "a", Incarnation: 1, State: fleet.StateLive})
	merged := table.Merge([]fleet.Node{
		{ID: "b", Incarnation: 2, Sequence: 1, State: fleet.StateLive},
		{ID: "b", Incarnation: 1, Sequence: 9, State: fleet.StateLeft}, // of a former life
	})
	fmt.Println(len(merged.News), "news,", len(table.View().Peers()), "peer")
	// Output: 1 news, 1 peer
}

func ExampleSpread() {
	peers := []fleet.Node{{ID: "b"}, {ID: "c"}, {ID: "d"}, {ID: "e"}}
	for _, part := range fleet.Spread(peers, "", "", 2) {
		fmt.Println(part.Candidates[0].ID, "hands on to those after it, until", part.Until)
	}
	// Output:
	// b hands on to those after it, until c
	// d hands on to those after it, until e
}
