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
	"github.com/levertide/levertide/pkg/workers"
)

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
		m.store.SetFaults("", hostedstore.Faults{})
		m.within(t, 10*time.Second, "the drain is acknowledged", func() bool {
			return alone.agent.Heartbeat(t.Context(), heartbeat("w1", 5, true)) == nil
		})
	})
}
