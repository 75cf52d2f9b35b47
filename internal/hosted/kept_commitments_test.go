//go:build !race

// With the race detector, Go 1.26.8 crashes in a synctest bubble when a timer is already due
// as its channel is selected; scripts/go-test.sh runs these tests without it.

package hosted_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/internal/lab/hostedstore"
	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/workers"
)

// restartAll kills all nodes of a mesh at once and starts them again.
func (m *simulated) restartAll(t *testing.T) {
	for _, n := range m.nodes {
		n.kill()
	}
	for n := range m.nodes {
		m.nodes[n] = m.start(t, n, false)
	}
}

// TestAcknowledgedDrainOutlastsLeasesThatRunOut guards against a leave that was acknowledged in calm and is
// forgotten once the store is silent, its leases run out, and all nodes are killed.
func TestAcknowledgedDrainOutlastsLeasesThatRunOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startSimulated(t, 4)
		time.Sleep(30 * time.Second)
		mustHeartbeat(t, m.nodes[0], heartbeat("w1", 3, false))
		if err := m.nodes[0].agent.Leave(t.Context(), workers.Incarnation{Instance: "w1"}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		m.store.SetFaults("", hostedstore.Faults{Silent: true})
		m.store.EndLeases()
		m.restartAll(t)
		time.Sleep(time.Second)
		m.store.SetFaults("", hostedstore.Faults{})
		mustHeartbeat(t, m.nodes[0], heartbeat("w1", 2, false))
		m.within(t, 10*time.Second, "the node is ready", m.nodes[0].agent.Ready)
		if worker, ready := m.nodes[0].workers.Ready("ledger"); ready {
			t.Errorf("%v gets work after its leave was acknowledged", worker)
		}
	})
}

// TestDrainThatNobodyElseHoldsIsNotAcknowledged guards against the acknowledgement by a node that has just
// started, knows no other one, and does not reach the store: its end would undo it.
func TestDrainThatNobodyElseHoldsIsNotAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startSimulated(t, 3)
		time.Sleep(30 * time.Second)
		m.store.SetFaults("", hostedstore.Faults{Silent: true})
		for _, n := range m.nodes {
			n.kill()
		}
		alone := m.start(t, 0, false)
		for range 3 {
			if err := alone.agent.Heartbeat(t.Context(), heartbeat("w1", 5, true)); !errorx.IsOfType(err, workers.ErrNotHeld) {
				t.Fatalf("a drain that only this node holds: %v", err)
			}
			if _, ready := alone.workers.Ready("ledger"); ready {
				t.Fatal("the worker gets work although it has said that it leaves")
			}
		}
		if unheld := alone.agent.IgnoredCalls().Leaves[workers.IgnoredUnheld]; unheld != 3 {
			t.Errorf("%d leaves are counted as unheld, want 3", unheld)
		}
		m.store.SetFaults("", hostedstore.Faults{})
		m.within(t, 10*time.Second, "the drain is acknowledged", func() bool {
			return alone.agent.Heartbeat(t.Context(), heartbeat("w1", 5, true)) == nil
		})
	})
}

// TestEntryIsBoundToALeaseAgainAfterADrain guards against entries of lost machines that stay for ever.
func TestEntryIsBoundToALeaseAgainAfterADrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startSimulated(t, 3)
		time.Sleep(30 * time.Second)
		mustHeartbeat(t, m.nodes[0], heartbeat("w1", 5, true))
		time.Sleep(time.Second)
		m.store.EndLeases()
		if m.store.Entry(simulatedID(0)) == nil {
			t.Fatal("the drain was lost with a lease")
		}
		time.Sleep(4 * time.Minute)
		m.store.EndLeases()
		if m.store.Entry(simulatedID(0)) != nil {
			t.Error("the entry has no lease although its drains are over")
		}
	})
}

// TestEntryOfAForgottenNodeIsRemoved has a machine go for good after it has acknowledged a drain, by a loss
// and by a planned stop, and come back while it is remembered.
func TestEntryOfAForgottenNodeIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startSimulated(t, 6)
		time.Sleep(30 * time.Second)
		for _, n := range []int{1, 2, 3} {
			mustHeartbeat(t, m.nodes[n], heartbeat("w1", 5, true))
		}
		m.nodes[1].kill()
		m.nodes[2].agent.AnnounceStop(t.Context(), fleet.StateLeft)
		m.nodes[2].kill()
		m.nodes[3].kill()
		time.Sleep(time.Minute)
		m.nodes[3] = m.start(t, 3, false)
		for _, n := range []int{1, 2} {
			if m.store.Entry(simulatedID(n)) == nil {
				t.Errorf("the entry of %s is gone with the node", simulatedID(n))
			}
		}
		time.Sleep(10 * time.Minute)
		for _, n := range []int{1, 2} {
			if m.store.Entry(simulatedID(n)) != nil {
				t.Errorf("the entry of %s stays for ever", simulatedID(n))
			}
		}
		if m.store.Entry(simulatedID(3)) == nil {
			t.Error("the entry of a node that came back was removed")
		}
	})
}
