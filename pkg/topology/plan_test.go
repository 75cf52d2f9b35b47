package topology_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/levertide/levertide/pkg/topology"
	"pgregory.net/rapid"
)

func mesh(regions, zonesPerRegion, nodesPerZone int) []topology.Peer {
	var peers []topology.Peer
	for region := range regions {
		for zone := range zonesPerRegion {
			for node := range nodesPerZone {
				peers = append(peers, topology.Peer{
					ID:     fmt.Sprintf("node-%d-%d-%d", region, zone, node),
					Region: fmt.Sprint("region-", region),
					Zone:   fmt.Sprintf("zone-%d-%d", region, zone),
				})
			}
		}
	}
	return peers
}

// withReaders marks the reader candidates of the plan as readers.
func withReaders(peers []topology.Peer, options topology.Options) []topology.Peer {
	marked := slices.Clone(peers)
	for index, peer := range peers {
		marked[index].Reader = topology.Plan(peer.ID, peers, options).ReaderCandidate
	}
	return marked
}

func drawOptions(t *rapid.T) topology.Options {
	return topology.Options{FanOut: rapid.IntRange(1, 9).Draw(t, "fan-out"), Readers: 3}
}

func drawMesh(t *rapid.T) []topology.Peer {
	return mesh(rapid.IntRange(1, 5).Draw(t, "regions"),
		rapid.IntRange(1, 4).Draw(t, "zones"),
		rapid.IntRange(1, 6).Draw(t, "nodes"))
}

func hasCycle(parents map[string][]string) bool {
	const inProgress, done = 1, 2
	state := map[string]int{}
	var visit func(string) bool
	visit = func(id string) bool {
		if state[id] != 0 {
			return state[id] == inProgress
		}
		state[id] = inProgress
		if slices.ContainsFunc(parents[id], visit) {
			return true
		}
		state[id] = done
		return false
	}
	for id := range parents {
		if visit(id) {
			return true
		}
	}
	return false
}

// viewOf returns what one node may know of the others: about a quarter of the peers
// are missing, and for one in eight the Reader mark is wrong.
func viewOf(self string, peers []topology.Peer, random *rand.Rand) []topology.Peer {
	var view []topology.Peer
	for _, peer := range peers {
		if peer.ID == self {
			view = append(view, peer)
			continue
		}
		if random.IntN(8) == 0 {
			peer.Reader = !peer.Reader
		}
		if random.IntN(4) > 0 {
			view = append(view, peer)
		}
	}
	return view
}

func TestSplitViewsFormNoLoop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers, options := drawMesh(t), drawOptions(t)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "views"), 0))
		reads := map[string]bool{}
		for index := range peers {
			peers[index].Reader = random.IntN(6) == 0
			reads[peers[index].ID] = peers[index].Reader
		}
		parents := map[string][]string{}
		for _, self := range peers {
			plan := topology.Plan(self.ID, viewOf(self.ID, peers, random), options)
			for _, parent := range plan.Parents {
				if reads[parent.ID] || !plan.MustBeReader(parent.ID) {
					parents[self.ID] = append(parents[self.ID], parent.ID)
				}
			}
		}
		if hasCycle(parents) {
			t.Fatalf("loop in %v", parents)
		}
	})
}

func TestEqualViewsBoundTheFanOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := drawOptions(t)
		peers := withReaders(drawMesh(t), options)
		inZone, outside := map[string]int{}, map[string]int{}
		zoneOf, full := map[string]string{}, map[string]bool{}
		readers := 0
		for _, peer := range peers {
			zoneOf[peer.ID] = peer.Zone
			full[peer.ID] = topology.Plan(peer.ID, peers, options).FullScope
			if peer.Reader {
				readers++
			}
		}
		for _, peer := range peers {
			plan := topology.Plan(peer.ID, peers, options)
			if len(plan.Parents) == 0 {
				if !peer.Reader {
					t.Fatalf("%s has no parent and does not read the store", peer.ID)
				}
				continue
			}
			if slices.ContainsFunc(plan.Parents, func(parent topology.Peer) bool { return !full[parent.ID] }) {
				t.Fatalf("%s may pull from a node that does not hold the complete configuration", peer.ID)
			}
			parent := plan.Parents[0].ID
			if zoneOf[parent] == peer.Zone {
				inZone[parent]++
			} else {
				outside[parent]++
			}
		}
		if readers > options.Readers {
			t.Fatalf("%d readers, more than the options allow", readers)
		}
		const regionsPerReader = 2
		for _, peer := range peers {
			if inZone[peer.ID] > options.FanOut || outside[peer.ID] > options.FanOut+regionsPerReader+options.Readers {
				t.Fatalf("%s has %d and %d children", peer.ID, inZone[peer.ID], outside[peer.ID])
			}
		}
	})
}

func TestParentsAreDistinctAndNotSelf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := drawOptions(t)
		peers := withReaders(drawMesh(t), options)
		for _, peer := range peers {
			seen := map[string]bool{peer.ID: true}
			for _, parent := range topology.Plan(peer.ID, peers, options).Parents {
				if seen[parent.ID] {
					t.Fatalf("%s lists %s twice or itself", peer.ID, parent.ID)
				}
				seen[parent.ID] = true
			}
		}
	})
}

func TestNodeOutsideItsOwnViewHasNoParents(t *testing.T) {
	plan := topology.Plan("stranger", mesh(1, 1, 3), topology.Options{})
	if plan.Role != topology.RoleLeaf || plan.Parents != nil || plan.ApexIndex != topology.NotInApex {
		t.Fatalf("plan %+v", plan)
	}
}

func TestFanOutFitsTheBudget(t *testing.T) {
	budget := topology.Budget{
		BytesPerSecond: 8192, HoldSeconds: 3, IdlePollBytes: 900,
		ChangeBytes: 6000, ChangesPerDay: 200, OtherChildren: 4, Reserve: 0.25,
	}
	fanOut := topology.FanOut(budget)
	cost := 900.0/3 + 6000*200/86400.0
	if used := cost * float64(fanOut+5); used > 8192*0.75 || used < 8192*0.75-cost {
		t.Fatalf("fan-out %d uses %.0f bytes a second", fanOut, used)
	}
	if topology.FanOut(topology.Budget{BytesPerSecond: 1, IdlePollBytes: 900, HoldSeconds: 3}) != topology.MinFanOut {
		t.Error("the fan-out of a tiny budget is not MinFanOut")
	}
	if topology.FanOut(topology.Budget{}) != topology.MaxFanOut {
		t.Error("the fan-out of children without cost is not MaxFanOut")
	}
}

func BenchmarkPlan(b *testing.B) {
	b.ReportAllocs()
	peers := withReaders(mesh(1, 22, 87), topology.Options{})[:1900]
	for b.Loop() {
		topology.Plan("node-0-3-40", peers, topology.Options{})
	}
}
