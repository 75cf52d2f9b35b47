package topology_test

import (
	"fmt"

	"github.com/levertide/levertide/pkg/topology"
)

// Example plans a system of one region, two zones and six nodes.
func Example() {
	var live []topology.Peer
	for _, zone := range []string{"a", "b"} {
		for number := range 3 {
			live = append(live, topology.Peer{ID: fmt.Sprintf("%s-%d", zone, number), Region: "west", Zone: zone})
		}
	}
	for _, peer := range live {
		plan := topology.Plan(peer.ID, live, topology.Options{FanOut: 8})
		fmt.Printf("%s rank %d %v candidate %t", peer.ID, plan.Rank, plan.Role, plan.ReaderCandidate)
		for _, parent := range plan.Parents {
			fmt.Print(" ", parent.ID)
		}
		fmt.Println()
	}
	// Output:
	// a-0 rank 1 relay candidate false a-2
	// a-1 rank 2 relay candidate false a-2 a-0
	// a-2 rank 0 region-relay candidate true
	// b-0 rank 2 relay candidate false b-2 b-1
	// b-1 rank 1 relay candidate false b-2
	// b-2 rank 0 zone-relay candidate true a-2
}
