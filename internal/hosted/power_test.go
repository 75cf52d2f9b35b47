//go:build !race

package hosted_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// silence cuts a share of the nodes off from all others, as a loss of power does, and returns the
// rest.
func (m *simulated) silence(r *rand.Rand, share float64) []*testNode {
	var rest []*testNode
	for n, node := range m.nodes {
		if r.Float64() >= share {
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
// force late: a broadcast waited for each machine that had lost power in turn, on each of its
// levels, before it went on to one that runs.
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
			rest := m.silence(r, share)
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
