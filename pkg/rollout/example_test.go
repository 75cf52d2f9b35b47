package rollout_test

import (
	"fmt"
	"time"

	"github.com/levertide/levertide/pkg/rollout"
)

// Example takes one node through a proposal and its commit.
func Example() {
	now := time.Unix(0, 0)
	node := rollout.NewParticipant(rollout.ParticipantOptions{Node: "node-1"})
	coordinator := rollout.NewCoordinator(rollout.CoordinatorOptions{})
	coordinator.ObserveMembers(rollout.SumOf("node-1", 1), now)

	node.LearnFloor(0)
	proposed := rollout.Head{Generation: 1, Proposed: 1, HighestUsed: 1, ApplyID: "first"}
	node.ObserveHead(proposed)
	coordinator.ObserveHead(proposed, now)
	_, waiting := coordinator.Decide(now).(rollout.Wait)
	fmt.Println("waiting:", waiting)

	node.Deliver(snapshotOf(1))
	coordinator.ObserveReadiness(node.State().Readiness("node-1", 1), now)
	decision := coordinator.Decide(now).(rollout.CommitVersion)
	fmt.Println("commit version", decision.Version)

	committed := rollout.Head{Generation: 2, Committed: 1, HighestUsed: 1, ApplyID: "first"}
	for _, action := range node.ObserveHead(committed) {
		if activate, ok := action.(rollout.Activate); ok {
			fmt.Println("in force:", activate.Snapshot.Version())
		}
	}
	// Output:
	// waiting: true
	// commit version 1
	// in force: 1
}
