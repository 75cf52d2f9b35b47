//go:build !race

package hosted_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/levertide/levertide/internal/lab/hostedstore"
	"github.com/levertide/levertide/pkg/fleet"
)

// cutOff disconnects nodes from all others, as a loss of power does, and returns the rest.
func (m *simulated) cutOff(chosen func(id string) bool) []*testNode {
	var rest []*testNode
	for n, node := range m.nodes {
		if !chosen(node.table.View().Self().ID) {
			rest = append(rest, node)
			continue
		}
		host, _ := simulatedAddress(n)
		for other := range m.nodes {
			address, _ := simulatedAddress(other)
			m.network.Cut(host, address)
		}
	}
	return rest
}

// TestDocumentIsEverywhereSoonAlthoughMostMachinesAreSilent guards against changes that come in
// force late: a broadcast waited in turn for each machine that had lost power, on each of its
// levels, before it reached one that runs.
func TestDocumentIsEverywhereSoonAlthoughMostMachinesAreSilent(t *testing.T) {
	const (
		size   = 85
		share  = 0.55
		rounds = 10
		latest = 2 * time.Second
		bound  = 2500 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		r := rand.New(rand.NewPCG(1, 1))
		m := startSimulated(t, size)
		var worst time.Duration
		for round := range rounds {
			time.Sleep(15 * time.Second)
			rest := m.cutOff(func(string) bool { return r.Float64() < share })
			time.Sleep(latest * time.Duration(round) / rounds)
			m.store.Put(testDocument(round + 1))
			took := m.within(t, bound, "all that run have the document", allHold(rest, testDocument(round+1)))
			worst = max(worst, took)
			time.Sleep(2 * time.Second)
			m.network.Heal()
		}
		t.Logf("everywhere after %v at most", worst)
	})
}

// TestReadersThatAreGoneTogetherAreReplaced guards against changes that do not come in force while
// all readers are lost: the other nodes did not notice that.
func TestReadersThatAreGoneTogetherAreReplaced(t *testing.T) {
	const (
		size   = 85
		rounds = 6
		bound  = 2500 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		m := startSimulated(t, size)
		var worst time.Duration
		for round := range rounds {
			time.Sleep(15 * time.Second)
			readers := fleet.Readers(m.nodes[0].table.View(), func(string) bool { return true }, 3)
			rest := m.cutOff(func(id string) bool { return slices.Contains(readers, id) })
			for _, id := range readers {
				m.store.SetFaults(id, hostedstore.Faults{Silent: true})
			}
			m.store.Put(testDocument(round + 1))
			took := m.within(t, bound, "all others have the document", allHold(rest, testDocument(round+1)))
			worst = max(worst, took)
			time.Sleep(2 * time.Second)
			m.network.Heal()
			for _, id := range readers {
				m.store.SetFaults(id, hostedstore.Faults{})
			}
		}
		t.Logf("everywhere after %v at most", worst)
	})
}

// TestReadersAndThoseNextAreReplaced guards against changes that do not come in force while the
// readers and the nodes that monitor them are killed together.
func TestReadersAndThoseNextAreReplaced(t *testing.T) {
	const (
		size   = 85
		killed = 9
		rounds = 4
		bound  = 2500 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		m := startSimulated(t, size)
		var worst time.Duration
		for round := range rounds {
			time.Sleep(10 * time.Second)
			first := fleet.Readers(m.nodes[0].table.View(), func(string) bool { return true }, killed)
			var rest []*testNode
			for _, node := range m.nodes {
				if slices.Contains(first, node.table.View().Self().ID) {
					node.kill()
				} else {
					rest = append(rest, node)
				}
			}
			m.store.Put(testDocument(round + 1))
			took := m.within(t, bound, "all others have the document", allHold(rest, testDocument(round+1)))
			worst = max(worst, took)
			for n, node := range m.nodes {
				if !slices.Contains(rest, node) {
					m.nodes[n] = m.start(t, n, false)
				}
			}
		}
		t.Logf("everywhere after %v at most", worst)
	})
}
