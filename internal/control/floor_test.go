package control

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/topology"
)

// partition lets nodes connect only to nodes of their own side.
type partition struct {
	mesh  *mesh
	mutex sync.Mutex
	sides map[string]int
}

// configure returns a configuration change that puts a node under the partition.
func (p *partition) configure(id string, change ...func(*Config)) func(*Config) {
	return func(config *Config) {
		dial := config.Dial
		own := config.Self.ControlAddress
		p.put(0, own)
		config.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			if !p.together(own, address) {
				return nil, fmt.Errorf("%s is on the other side", address)
			}
			return dial(ctx, network, address)
		}
		for _, more := range change {
			more(config)
		}
	}
}

func (p *partition) put(side int, addresses ...string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, address := range addresses {
		p.sides[address] = side
	}
}

func (p *partition) together(one, other string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.sides[one] == p.sides[other]
}

// split moves nodes to a side and breaks their connections.
func (p *partition) split(side int, ids ...string) {
	for _, id := range ids {
		p.put(side, p.mesh.nodes[id].address)
	}
	for _, id := range ids {
		p.mesh.setCut(p.mesh.nodes[id], false)
	}
}

func (m *mesh) each(ids []string, predicate func(*Node) bool) func() bool {
	return func() bool {
		for _, id := range ids {
			if !predicate(m.nodes[id].node) {
				return false
			}
		}
		return true
	}
}

// zoneWithStore is the zone whose relay is the root of the tree of all zones.
const zoneWithStore = "c"

func withoutStore(config *Config) { config.Store = nil }

// TestRestartAmongSilentNodes restarts a node that ran a version unknown to its
// zone and to the largest other one, while the nodes that know the version are
// unreachable. The uninformed nodes are more than half of the nodes, but not of
// the zones.
func TestRestartAmongSilentNodes(t *testing.T) {
	t.Parallel()
	m := newMesh(t)
	sides := &partition{mesh: m, sides: map[string]int{}}
	quick := func(c *Config) { c.TreeSettle, c.UnresponsiveBound = time.Second, 200*time.Millisecond }
	uninformed := []string{"a0", "a1", "a2", "a3", "a4", "b1", "b2"}
	informed := []string{"b0", "c0", "c1", "d0", "d1"}
	for _, id := range append(slices.Clone(informed), uninformed...) {
		zone := id[:1]
		if zone == zoneWithStore {
			m.start(id, zone, "ledger", sides.configure(id, quick))
		} else {
			m.start(id, zone, "ledger", sides.configure(id, quick, withoutStore))
		}
	}
	m.eventually("every node knows every node", m.all(knows(12)))
	first := m.propose("first")
	m.eventually("every node runs the first version", m.all(runs(first)))

	sides.split(1, uninformed...)
	m.eventually("the uninformed nodes are lost", m.each(informed, knows(5)))
	second := m.propose("second")
	m.eventually("the others run the second version", m.each(informed, runs(second)))
	m.down.Store(true)
	m.kill("b0")
	m.eventually("the uninformed nodes are authoritative", m.each(uninformed, authoritative))

	m.start("b0", "b", "ledger", sides.configure("b0", quick, withoutStore, func(config *Config) {
		sides.put(1, config.Self.ControlAddress)
		config.Seeds = []netip.AddrPort{netip.MustParseAddrPort(m.nodes["b1"].address)}
	}))
	restarted := m.nodes["b0"].node
	m.eventually("the restarted node lacks nothing but another zone", func() bool {
		if current := restarted.Current(); current != nil {
			t.Fatalf("the restarted node runs version %d, and ran %d before", current.Version(), second)
		}
		_, reason := restarted.Readiness()
		return strings.Contains(reason, "1 of the 2 answers needed from other zones")
	})
	sides.split(0, append(uninformed, "b0")...)
	m.eventually("every node runs the second version", m.all(runs(second)))
	m.eventually("every node is ready", m.all(ready))
}

func authoritative(node *Node) bool { return node.localFloor("", zoneKey{}).GetKnown() }

// TestRestartedReaderOfRestoredStore restarts the only reader of a store that
// was restored to an earlier state, while other nodes know a later version.
func TestRestartedReaderOfRestoredStore(t *testing.T) {
	t.Parallel()
	m := newMesh(t)
	m.start("c1", "c", "ledger")
	m.start("a0", "a", "ledger", withoutStore)
	m.start("c0", "c", "ledger", withoutStore)
	m.eventually("every node knows every node", m.all(knows(3)))
	first := m.propose("first")
	m.eventually("every node runs the first version", m.all(runs(first)))
	earlier := m.store.State()
	second := m.propose("second")
	m.eventually("every node runs the second version", m.all(runs(second)))

	m.kill("c1")
	m.store.Restore(earlier)
	restarted := m.start("c1", "c", "ledger")
	m.eventually("the restarted node knows the floor", floorKnown(restarted))
	if floor := floorOf(restarted); floor != second {
		t.Fatalf("the floor is %d, and version %d ran before", floor, second)
	}
	if current := restarted.Current(); current != nil && current.Version() < second {
		t.Fatalf("the restarted node runs version %d", current.Version())
	}
}

func floorKnown(node *Node) func() bool { return node.floorKnown }

func floorOf(node *Node) rollout.Version {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.participant.State().Floor
}

// TestFloorAnswerCoversThoseBelow checks that a node answers with the highest
// versions ever reported to it, and not with an abandoned one.
func TestFloorAnswerCoversThoseBelow(t *testing.T) {
	t.Parallel()
	m := newMesh(t)
	node := m.start("c0", "c", "ledger")
	m.eventually("the node runs the first version", runsNow(node, m.propose("first")))
	node.mutex.Lock()
	node.reported.raise(rollout.Readiness{Committed: 4, Proposed: 5})
	node.reported.raise(rollout.Readiness{Committed: 3, Proposed: 3})
	node.mutex.Unlock()
	answer := node.localFloor("", zoneKey{})
	if answer.GetCommitted() != 4 || answer.GetStaged() != 5 {
		t.Fatalf("the answer is %v", answer)
	}
	node.mutex.Lock()
	node.reported = reportedVersions{committed: 1, proposed: 1}
	node.mutex.Unlock()
	if staged := node.localFloor("", zoneKey{}).GetStaged(); staged != 0 {
		t.Fatalf("version %d is given as undecided", staged)
	}
}

func runsNow(node *Node, version rollout.Version) func() bool {
	return func() bool { return runs(version)(node) }
}

// TestFloorCountsLostMembersAndZones checks the numbers of members and zones that
// a node reports for the quorum, also after the records of lost nodes are dropped.
func TestFloorCountsLostMembersAndZones(t *testing.T) {
	t.Parallel()
	m := newMesh(t)
	node := m.start("c0", "c", "ledger")
	record := membership.Record{Region: "nl", ControlAddress: "127.0.0.1:1", State: membership.StateLost}
	node.mutex.Lock()
	for _, id := range []string{"c1", "c2", "a0", "b0"} {
		record.ID, record.Zone = id, id[:1]
		node.table.Merge(record)
	}
	node.mutex.Unlock()
	answer := node.localFloor("c1", zoneKey{region: "nl", zone: "c"})
	if answer.GetZoneMembers() != 2 || answer.GetZones() != 2 {
		t.Fatalf("the answer is %v", answer)
	}
	if peers := node.floorPeers(); len(peers.relays) != 2 || peers.quorum.ZoneMembers != 2 || peers.quorum.Zones != 2 {
		t.Fatalf("the peers are %+v", peers)
	}
	node.mutex.Lock()
	node.table.replace([]membership.Record{node.self})
	node.mutex.Unlock()
	if zones := node.localFloor("c1", zoneKey{region: "nl", zone: "c"}).GetZones(); zones != 2 {
		t.Fatalf("%d zones are counted after the records were dropped", zones)
	}
}

// TestFloorAnswerOfAnotherNodeDoesNotCount queries the address of a node that is
// gone and whose address another node now uses.
func TestFloorAnswerOfAnotherNodeDoesNotCount(t *testing.T) {
	t.Parallel()
	m := newMesh(t)
	asking := m.start("c1", "c", "ledger")
	m.start("c0", "c", "ledger", func(c *Config) { c.TreeSettle = time.Nanosecond })
	m.eventually("every node runs the first version", m.all(runs(m.propose("first"))))
	peer := topology.Peer{ID: "c0", Region: "nl", Zone: "c", ControlAddress: m.nodes["c0"].address}
	if answer := asking.askPeerFloor(t.Context(), peer); !answer.Known || !answer.SameZone {
		t.Fatalf("the answer is %+v", answer)
	}
	peer.ID = "gone"
	if answer := asking.askPeerFloor(t.Context(), peer); answer != (rollout.FloorAnswer{}) {
		t.Fatalf("the answer of another node counts: %+v", answer)
	}
}

// TestFloorSampleOfLargeZone checks that the sample and the remaining nodes
// together are all nodes to be queried.
func TestFloorSampleOfLargeZone(t *testing.T) {
	t.Parallel()
	peers := floorPeers{relays: make([]topology.Peer, 21)}
	for _, members := range []int{3, floorCompleteZone, floorCompleteZone + 1, 85} {
		peers.own = make([]topology.Peer, members)
		sample, others := peers.split()
		if len(sample)+len(others) != members+21 {
			t.Fatalf("of %d members %d and %d are asked", members, len(sample), len(others))
		}
		if members > floorCompleteZone && len(sample) != floorSample {
			t.Fatalf("the sample of %d members has %d", members, len(sample))
		}
	}
}

func BenchmarkLocalFloor(b *testing.B) {
	m := newMesh(b)
	node := m.start("c0", "c", "ledger")
	node.mutex.Lock()
	for index := range 1849 {
		node.table.Merge(membership.Record{
			ID: fmt.Sprint("n", index), Region: "nl", Zone: fmt.Sprint("z", index%22), ControlAddress: "127.0.0.1:1", State: membership.StateLost,
		})
	}
	node.mutex.Unlock()
	b.ReportAllocs()
	for b.Loop() {
		node.localFloor("c0", zoneKey{region: "nl", zone: "c"})
	}
}
