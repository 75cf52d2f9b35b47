//go:build !race

package hosted_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/levertide/levertide/pkg/canary"
	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/quota"
)

const (
	// addressReuse is how long after the end of a machine another one may come up at its address.
	addressReuse = 2500 * time.Millisecond
	// beliefBound is how long after the start of a node the one that was at its address before may
	// still be taken to be there, by any node.
	beliefBound = 2 * time.Second
)

func everybody(string) bool { return true }

// replace ends the node at a place of the mesh, and starts one with another identifier at its
// address.
func (m *simulated) replace(t *testing.T, place int, id string, planned bool) {
	t.Helper()
	if planned {
		m.nodes[place].agent.AnnounceStop(t.Context(), fleet.StateLeaving)
		m.nodes[place].agent.AnnounceStop(t.Context(), fleet.StateLeft)
	}
	m.nodes[place].kill()
	time.Sleep(addressReuse)
	m.nodes[place] = m.startAs(t, place, id, false)
}

// placeOf returns the place in the mesh of the node with an identifier.
func (m *simulated) placeOf(id string) int {
	return slices.IndexFunc(m.nodes, func(n *testNode) bool { return n.id() == id })
}

// replacementID returns the identifier of the n-th node at a place.
func replacementID(place, n int) string { return fmt.Sprintf("%s-%d", simulatedID(place), n) }

// lowRanked returns an identifier for a place that comes after the given node in the order of
// readers.
func lowRanked(place int, before fleet.Node) string {
	for n := 1; ; n++ {
		id := replacementID(place, n)
		table := fleet.NewTable(before)
		table.Merge([]fleet.Node{{ID: id, Zone: before.Zone, State: fleet.StateLive, ReadsStore: true}})
		if fleet.Readers(table.View(), everybody, 1)[0] == before.ID {
			return id
		}
	}
}

// TestReadersWhoseAddressesAreReused guards against versions that nobody reads: the readers have
// ended, and other nodes answer at their addresses.
func TestReadersWhoseAddressesAreReused(t *testing.T) {
	const size, replaced = 12, 6
	synctest.Test(t, func(t *testing.T) {
		m := startSimulated(t, size)
		order := fleet.Readers(m.nodes[0].table.View(), everybody, size)
		last, _ := m.nodes[0].table.View().Node(order[size-1])
		for _, reader := range order[:replaced] {
			place := m.placeOf(reader)
			m.replace(t, place, lowRanked(place, last), false)
		}
		m.store.Put(testDocument(1))
		took := m.within(t, beliefBound, "all have the document", allHold(m.nodes, testDocument(1)))
		t.Logf("everywhere after %v", took)
	})
}

// TestReplacedNodesAreForgotten guards against decisions by nodes that have ended, which would
// never be forgotten while others answer at their addresses. All nodes are replaced, one after the
// other, with a new document after each.
func TestReplacedNodesAreForgotten(t *testing.T) {
	for name, planned := range map[string]bool{"crashes": false, "planned stops": true} {
		t.Run(name, func(t *testing.T) {
			const size = 12
			synctest.Test(t, func(t *testing.T) {
				m := startSimulated(t, size)
				var worst time.Duration
				for place := range size {
					m.replace(t, place, replacementID(place, 1), planned)
					took := m.within(t, beliefBound, "all know the nodes that are there, and no others", func() bool { return m.allBelieve(size) })
					worst = max(worst, took)
					m.store.Put(testDocument(place + 1))
					m.within(t, beliefBound, "all have the document", allHold(m.nodes, testDocument(place+1)))
				}
				t.Logf("forgotten everywhere after %v at most", worst)
			})
		})
	}
}

// allBelieve reports whether all nodes take the nodes of the mesh to be there, and no others.
func (m *simulated) allBelieve(size int) bool {
	for _, n := range m.nodes {
		there := slices.DeleteFunc(slices.Clone(n.table.View().Nodes()), func(n *fleet.Node) bool { return n.State == fleet.StateLeft })
		if len(there) != size || !n.agent.Ready() {
			return false
		}
	}
	return true
}

// costOfStart ends a node, starts one with the given identifier at its address, and returns the
// messages with updates and the bytes between zones in the seconds after that.
func (m *simulated) costOfStart(t *testing.T, place int, id string) (messages uint64, crossed int64) {
	t.Helper()
	const calm = 10 * time.Second
	time.Sleep(calm)
	m.nodes[place].kill()
	ended := m.nodes[place].agent.Messages().Broadcasts
	time.Sleep(addressReuse)
	before, bytes := m.sent().Broadcasts-ended, m.crossed.Load()
	m.nodes[place] = m.startAs(t, place, id, false)
	time.Sleep(calm)
	return m.sent().Broadcasts - before, m.crossed.Load() - bytes
}

// TestReplacementCostsOneUpdate compares the start of another node at an address with a restart: the
// last record of the node before goes to each node once.
func TestReplacementCostsOneUpdate(t *testing.T) {
	const size, place = 160, 5
	synctest.Test(t, func(t *testing.T) {
		m := startSimulated(t, size)
		restart, restartBytes := m.costOfStart(t, place, simulatedID(place))
		replacement, replacementBytes := m.costOfStart(t, place, replacementID(place, 1))
		t.Logf("%d messages and %d bytes between zones in 10 s after a restart, %d and %d after a replacement", restart, restartBytes, replacement, replacementBytes)
		// Two batches of the hubs, of one message a node each.
		if most := restart + 2*size; replacement > most {
			t.Errorf("%d messages after a replacement, at most %d expected", replacement, most)
		}
	})
}

// TestReplacedNodesTakeNoShareOfALimit guards against limits of tenants that shrink with each
// replaced node, since those that have ended own a share.
func TestReplacedNodesTakeNoShareOfALimit(t *testing.T) {
	const size, replaced = 8, 6
	synctest.Test(t, func(t *testing.T) {
		m := startSimulated(t, size)
		m.limit()
		for place := range replaced {
			m.replace(t, place, replacementID(place, 1), false)
			m.limit()
		}
		time.Sleep(quota.LeaseTerm + 5*time.Second)
		limit := quota.Limit{Rate: 40, Burst: 40}
		admitted, sent := m.requests(t, limit, 36, 10*time.Second, m.any)
		t.Logf("%d of %d admitted", len(admitted), sent)
		if float64(len(admitted)) < 0.98*float64(sent) {
			t.Errorf("%d of %d admitted, all are within the limit", len(admitted), sent)
		}
		admitted, _ = m.requests(t, limit, 400, 5*time.Second, m.any)
		withinLimit(t, limit, admitted)
	})
}

// TestRolloutIsDecidedAtReusedAddresses guards against a roll-out that nobody decides: the first
// coordinators have ended, and other nodes answer at their addresses.
func TestRolloutIsDecidedAtReusedAddresses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, replaced = 12, 4
		tr := startTraffic(t, size, 3)
		order := fleet.Readers(tr.nodes[0].table.View(), everybody, size)
		last, _ := tr.nodes[0].table.View().Node(order[size-1])
		for _, first := range order[:replaced] {
			place := tr.placeOf(first)
			tr.replace(t, place, lowRanked(place, last), false)
			mustHeartbeat(t, tr.nodes[place], rolloutWorker(place, 1))
		}
		time.Sleep(2 * time.Second)
		tr.store.Order("ledger", nextVersion, rolloutTime)
		if state := tr.play(nil); state != canary.Completed {
			t.Errorf("the roll-out is %v", state)
		}
	})
}
