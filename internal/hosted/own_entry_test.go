//go:build !race

// With the race detector, Go 1.26.8 crashes in a synctest bubble when a timer is already due
// as its channel is selected; scripts/go-test.sh runs these tests without it.

package hosted_test

import (
	"bytes"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/levertide/levertide/internal/exchangepb"
)

// nobodyAt is an address at which nothing listens.
const nobodyAt = "10.9.9.9:70"

// forgeries change the entry of node n into one that another program has written under its name.
var forgeries = map[string]func(n int, entry *exchangepb.Node){
	"of nobody": func(_ int, entry *exchangepb.Node) {
		entry.ControlAddress, entry.CallAddress = nobodyAt, nobodyAt
	},
	"that are none": func(_ int, entry *exchangepb.Node) {
		entry.ControlAddress, entry.CallAddress = "10.9.9.9:", "[10.9.9.9:70"
	},
	"of the next node": func(n int, entry *exchangepb.Node) {
		_, entry.ControlAddress = simulatedAddress(n + 1)
	},
	"with a later incarnation": func(_ int, entry *exchangepb.Node) {
		entry.ControlAddress, entry.Incarnation = nobodyAt, 1<<61
	},
	"with the last incarnation": func(_ int, entry *exchangepb.Node) {
		entry.ControlAddress, entry.Incarnation, entry.Sequence = nobodyAt, 1<<63, 1<<63
	},
	"and the sequence of the last record": func(_ int, entry *exchangepb.Node) {
		entry.ControlAddress, entry.Sequence, entry.State = nobodyAt, 1<<64-1, exchangepb.NodeState_NODE_STATE_LEFT
	},
}

// forge has another program write over the entries of all nodes.
func (m *simulated) forge(t *testing.T, change func(n int, entry *exchangepb.Node)) {
	t.Helper()
	for n, node := range m.nodes {
		forged := &exchangepb.Node{}
		if err := proto.Unmarshal(m.store.Entry(node.id()), forged); err != nil {
			t.Fatal(err)
		}
		change(n, forged)
		forged.Workers = append(forged.Workers, &exchangepb.Worker{
			Instance: "odd", Service: "ledger", Slots: 1, Address: "http://10.9.9.9:80", State: exchangepb.WorkerState_WORKER_STATE_READY,
		})
		content, err := proto.Marshal(forged)
		if err != nil {
			t.Fatal(err)
		}
		m.store.PutForeign(node.id(), content)
	}
}

// findEachOther reports whether all nodes are ready and hold the records that the others have written.
func (m *simulated) findEachOther() bool {
	for _, n := range m.nodes {
		if !n.agent.Ready() {
			return false
		}
		for _, other := range m.nodes {
			want := other.table.View().Self()
			held, _ := n.table.View().Node(want.ID)
			if held.ControlAddress != want.ControlAddress || held.Incarnation != want.Incarnation || held.State != want.State {
				return false
			}
		}
	}
	return true
}

// ownEntriesStored reports whether the store has the entries of the nodes that run.
func (m *simulated) ownEntriesStored(t *testing.T) bool {
	t.Helper()
	for _, n := range m.nodes {
		entry := &exchangepb.Node{}
		if err := proto.Unmarshal(m.store.Entry(n.id()), entry); err != nil || entry.GetControlAddress() != n.address {
			return false
		}
	}
	return true
}

// TestNodesWhoseEntriesNameOtherAddressesFindEachOther guards against nodes that start and do not find
// each other for as long as they run, since entries under their names have other addresses.
func TestNodesWhoseEntriesNameOtherAddressesFindEachOther(t *testing.T) {
	for name, change := range forgeries {
		for _, size := range []int{3, 12} {
			t.Run(fmt.Sprint("addresses ", name, ", ", size, " nodes"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					m := meshWithEntries(t, size)
					for range 3 {
						m.forge(t, change)
						m.restartAll(t)
						took := m.within(t, 5*time.Second, "all find each other", m.findEachOther)
						m.within(t, 5*time.Second, "the entries are those of the nodes", func() bool { return m.ownEntriesStored(t) })
						t.Logf("after %v", took)
					}
				})
			})
		}
	}
}

// TestNodesFindEachOtherThoughTheirEntriesAreWrittenOver guards against nodes that look for others once,
// while another program writes over all entries each second.
func TestNodesFindEachOtherThoughTheirEntriesAreWrittenOver(t *testing.T) {
	for name, change := range forgeries {
		t.Run("addresses "+name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const size = 4
				m := meshWithEntries(t, size)
				for _, n := range m.nodes {
					n.kill()
				}
				for n := range m.nodes {
					m.forge(t, change)
					m.nodes[n] = m.start(t, n, false)
					time.Sleep(time.Second)
				}
				for second := 0; !m.findEachOther(); second++ {
					if second == 10 {
						t.Fatal("they have not found each other in 10 s")
					}
					m.forge(t, change)
					time.Sleep(time.Second)
				}
			})
		})
	}
}

// TestRunningNodeSurvivesWhatOthersWriteUnderItsName guards against a node that all others take to be
// elsewhere, or gone, since a record under its name has its incarnation and a later sequence.
func TestRunningNodeSurvivesWhatOthersWriteUnderItsName(t *testing.T) {
	for name, change := range forgeries {
		t.Run("addresses "+name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const size = 6
				m := meshWithEntries(t, size)
				for range 3 {
					m.forge(t, func(n int, entry *exchangepb.Node) {
						change(n, entry)
						entry.Sequence = max(entry.Sequence, 1<<40)
					})
					m.nodes[0].kill()
					m.nodes[0] = m.start(t, 0, false)
					time.Sleep(500 * time.Millisecond)
					m.within(t, 5*time.Second, "all find each other", m.findEachOther)
				}
			})
		})
	}
}

// TestPromisesInAnEntryWithOtherAddressesAreKept guards against a node that writes over an entry of its
// previous incarnation, at another address, without what that has promised.
func TestPromisesInAnEntryWithOtherAddressesAreKept(t *testing.T) {
	for _, name := range []string{"of nobody", "that are none"} {
		t.Run("addresses "+name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := meshWithEntries(t, 6)
				mustHeartbeat(t, m.nodes[0], heartbeat("w1", 1, false))
				mustHeartbeat(t, m.nodes[0], heartbeat("w1", 2, true))
				if !bytes.Contains(m.store.Entry(m.nodes[0].id()), []byte("w1")) {
					t.Fatal("the drain commitment is not in the store")
				}
				m.forge(t, forgeries[name])
				m.restartAll(t)
				m.within(t, 5*time.Second, "all find each other", m.findEachOther)
				m.nodes[0].expectNoWork(t)
			})
		})
	}
}
