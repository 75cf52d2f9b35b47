package hosted_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/internal/hosted"
	"github.com/levertide/levertide/internal/lab/hostedstore"
	"github.com/levertide/levertide/internal/testwait"
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

// TestDrainIsNotAcknowledgedByANodeThatKnowsNobody starts a node while the store is silent to it: a
// commitment that it gave would end with it, and with a store that comes back from a copy.
func TestDrainIsNotAcknowledgedByANodeThatKnowsNobody(t *testing.T) {
	store := newStore()
	startNodes(t, store, "b1", "c1")
	store.SetFaults("a1", hostedstore.Faults{Silent: true})
	alone := startNode(t, store, "a1", "")
	mustHeartbeat(t, alone, heartbeat("w1", 1, false))
	for sequence := range uint64(2) {
		if err := alone.agent.Heartbeat(t.Context(), heartbeat("w1", 2+sequence, true)); !errorx.IsOfType(err, hosted.ErrUnheld) {
			t.Fatalf("with %d holders: %v", alone.events.holders("w1"), err)
		}
	}
	if _, ready := alone.workers.Ready("ledger"); ready {
		t.Error("the worker gets work although it has asked to leave")
	}
	store.SetFaults("a1", hostedstore.Faults{})
	sequence := uint64(4)
	testwait.Eventually(t, "the drain is acknowledged", func() bool {
		sequence++
		return alone.agent.Heartbeat(t.Context(), heartbeat("w1", sequence, true)) == nil
	})
	if holders := alone.events.holders("w1"); holders < 1 {
		t.Errorf("acknowledged while %d other nodes know", holders)
	}
}
