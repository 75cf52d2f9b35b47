package quota_test

import (
	"fmt"
	"time"

	"github.com/levertide/levertide/pkg/quota"
)

// Two nodes enforce one limit together: one is the hub, the other borrows tokens from it.
func Example() {
	half := func() float64 { return 0.5 }
	hub := quota.NewNode(quota.Options{ID: "a", Incarnation: 1, Draw: half})
	node := quota.NewNode(quota.Options{ID: "b", Incarnation: 1, Draw: half})
	limit := quota.Limit{Rate: 4, Burst: 4}

	// Nodes own a share of the limits once they have run for a while.
	now := 3 * time.Second
	hub.SetMesh(now, 2, nil, "a")
	node.SetMesh(now, 2, nil, "a")
	exchange := func() {
		_, request := node.Request(now)
		answer, _ := hub.Serve(now, request)
		node.Answered(now, answer)
	}
	exchange() // The first message gets a stamp from the hub,
	exchange() // the second leases the node's share to it.

	now += 900 * time.Millisecond
	admitted := 0
	for range 8 {
		decision := node.Take(now, "tenant", limit)
		if decision.Ask == quota.AskHub {
			exchange()
			decision = node.Settle(now, "tenant", limit)
		}
		if decision.Admitted {
			admitted++
		}
	}
	fmt.Println(admitted, "of 8 at once")
	// Output: 4 of 8 at once
}
