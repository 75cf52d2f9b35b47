//go:build !race

package hosted_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/levertide/levertide/internal/lab/hostedstore"
	"github.com/levertide/levertide/pkg/fleet"
)

// TestReaderThatBecomesTheFirstAsksTheStoreAnew guards against changes that come in force late: the
// first reader is cut off from the store together with those that would take its place, and the
// watches of the other two readers have gone silent.
func TestReaderThatBecomesTheFirstAsksTheStoreAnew(t *testing.T) {
	const (
		size   = 12
		rounds = 8
		cutOff = 6
		bound  = 2500 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		m := startSimulated(t, size)
		var worst time.Duration
		for round := range rounds {
			// Watches of the other readers last for five seconds: begin at different moments of one.
			time.Sleep(10*time.Second + time.Duration(round)*700*time.Millisecond)
			order := fleet.Readers(m.nodes[0].table.View(), func(string) bool { return true }, cutOff)
			cut := append(order[:1:1], order[3:]...)
			for _, id := range cut {
				m.store.SetFaults(id, hostedstore.Faults{Silent: true})
			}
			m.store.SilenceWatches()
			m.store.Put(testDocument(round + 1))
			took := m.within(t, bound, "all have the document", allHold(m.nodes, testDocument(round+1)))
			worst = max(worst, took)
			for _, id := range cut {
				m.store.SetFaults(id, hostedstore.Faults{})
			}
		}
		t.Logf("everywhere after %v at most", worst)
	})
}
