package hosted_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/levertide/levertide/pkg/workers"
)

// TestDrainIsAcknowledgedOnceOthersKnowIt has workers state in an answer that they leave, and ask for
// the same by a heartbeat while that is being spread.
func TestDrainIsAcknowledgedOnceOthersKnowIt(t *testing.T) {
	nodes := startNodes(t, newStore(), "a", "b", "c")
	node := nodes[0]
	for n := range 5 {
		instance := fmt.Sprint("w", n)
		mustHeartbeat(t, node, heartbeat(instance, 1, false))
		node.agent.WorkerLeaving(workers.Incarnation{Instance: instance})
		// Without a pause: the heartbeat has to come while the answer's news is on its way.
		for ready := true; ready && t.Context().Err() == nil; runtime.Gosched() {
			_, ready = node.workers.Ready("")
		}
		mustHeartbeat(t, node, heartbeat(instance, 2, true))
		if holders := node.events.holders(instance); holders < 2 {
			t.Fatalf("%s: acknowledged while %d other nodes know", instance, holders)
		}
	}
}
