package fleet

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/levertide/levertide/pkg/workers"
)

func node(id string, incarnation, sequence uint64) Node {
	return Node{ID: id, Incarnation: incarnation, Sequence: sequence, Zone: "z" + id[:1], State: StateLive, ReadsStore: true}
}

func TestMergeKeepsTheNewest(t *testing.T) {
	table := NewTable(node("self", 5, 1))
	table.Merge([]Node{node("a", 2, 2)})
	merged := table.Merge([]Node{node("a", 1, 9), node("a", 2, 2), node("b", 1, 1)})
	if len(merged.Updates) != 1 || merged.Updates[0].ID != "b" {
		t.Fatalf("updates %v", merged.Updates)
	}
	if held, _ := table.View().Node("a"); held.Incarnation != 2 {
		t.Fatalf("held %v", held)
	}
}

func TestRecordOfAPreviousIncarnationIsReportedAndNotAccepted(t *testing.T) {
	table := NewTable(node("self", 5, 1))
	previous := node("self", 7, 3)
	previous.Workers = []workers.Worker{{Instance: "i", State: workers.StateDraining}}
	merged := table.Merge([]Node{previous})
	if merged.PreviousSelf == nil || merged.PreviousSelf.Workers[0].Instance != "i" {
		t.Fatalf("merged %+v", merged)
	}
	if table.View().Self().Incarnation != 5 {
		t.Fatal("the record of the previous incarnation was accepted")
	}
}

// TestIncarnationThatCannotBeSurpassedIsNotAccepted guards against a record of another writer after which the
// node that it names is not followed any more, since no record can be newer.
func TestIncarnationThatCannotBeSurpassedIsNotAccepted(t *testing.T) {
	table := NewTable(node("self", 5, 1))
	for _, incarnation := range []uint64{math.MaxUint64, math.MaxUint64 - 1, 1<<63 + 1} {
		merged := table.Merge([]Node{node("a", incarnation, 1), node("self", incarnation, 1)})
		if merged.PreviousSelf != nil || len(merged.Updates) != 0 {
			t.Errorf("incarnation %d: %+v", incarnation, merged)
		}
	}
	table.SupersedePrevious(node("self", math.MaxUint64, 1))
	if self := table.View().Self(); self.Incarnation != 5 {
		t.Errorf("own incarnation is %d", self.Incarnation)
	}
	if merged := table.Merge([]Node{node("a", 7, 1)}); len(merged.Updates) != 1 {
		t.Errorf("the next good record is not followed: %+v", merged)
	}
}

// TestTablesConverge merges records in any order and expects equal digests.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []Node
		for range rapid.IntRange(1, 20).Draw(t, "records") {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			records = append(records, node(id, rapid.Uint64Range(1, 3).Draw(t, "incarnation"), rapid.Uint64Range(1, 4).Draw(t, "sequence")))
		}
		one, two := NewTable(node("self", 1, 1)), NewTable(node("self", 1, 1))
		one.Merge(records)
		for _, index := range rapid.Permutation(records).Draw(t, "order") {
			two.Merge([]Node{index})
		}
		if one.View().Digest() != two.View().Digest() {
			t.Fatal("tables differ")
		}
		digests := two.View().Digests()
		if differing := one.View().Differing(digests[:]); len(differing) > 0 {
			t.Fatalf("buckets %v differ", differing)
		}
	})
}

// TestSpreadReachesEveryNodeOnce simulates broadcasts and counts how often each node is reached.
func TestSpreadReachesEveryNodeOnce(t *testing.T) {
	for _, size := range []int{0, 1, 2, 5, 12, 100, 301} {
		var peers []*Node
		for index := range size {
			record := node(fmt.Sprintf("n%04d", index), 1, 1)
			peers = append(peers, &record)
		}
		reached := map[string]int{}
		depth := spreadAll(peers, "sender", "", "", reached)
		if len(reached) != size {
			t.Fatalf("%d of %d reached", len(reached), size)
		}
		for id, times := range reached {
			if times != 1 {
				t.Fatalf("%s reached %d times", id, times)
			}
		}
		if size == 301 && depth > 6 {
			t.Fatalf("%d hops for %d nodes", depth, size)
		}
	}
}

func spreadAll(peers []*Node, sender, after, until string, reached map[string]int) int {
	deepest := 0
	for _, part := range Spread(peers, sender, after, until, 4) {
		head := part.Candidates[0]
		reached[head.ID]++
		others := slices.DeleteFunc(slices.Clone(peers), func(n *Node) bool { return n == head })
		if len(part.Candidates) > 1 {
			deepest = max(deepest, spreadAll(others, head.ID, part.After, part.Until, reached))
		}
	}
	return deepest + 1
}

// TestFirstRelaysDifferByTheSender counts how often each node is the first candidate of a
// sender, which forwards the broadcast.
func TestFirstRelaysDifferByTheSender(t *testing.T) {
	var peers []*Node
	for i := range 100 {
		record := node(fmt.Sprintf("n%04d", i), 1, 1)
		peers = append(peers, &record)
	}
	heads := map[string]int{}
	for i := range 400 {
		heads[SinglePart(peers, fmt.Sprintf("sender %d", i)).Candidates[0].ID]++
	}
	for id, times := range heads {
		if times > 20 {
			t.Errorf("%s is the head of %d of 400 broadcasts to 100 nodes", id, times)
		}
	}
}

func TestReadersComeFromSeveralZones(t *testing.T) {
	table := NewTable(node("a0", 1, 1))
	for _, id := range []string{"a1", "a2", "b1", "c1"} {
		table.Merge([]Node{node(id, 1, 1)})
	}
	everybody := func(string) bool { return true }
	readers := Readers(table.View(), everybody, 3)
	zones := map[string]bool{}
	for _, id := range readers {
		record, _ := table.View().Node(id)
		zones[record.Zone] = true
	}
	if len(readers) != 3 || len(zones) != 3 {
		t.Fatalf("readers %v in zones %v", readers, zones)
	}
	without := Readers(table.View(), func(id string) bool { return id != "b1" && id != "c1" }, 3)
	if len(without) != 3 {
		t.Fatalf("readers %v", without)
	}
	if alone := Readers(table.View(), func(string) bool { return false }, 3); len(alone) != 1 || alone[0] != "a0" {
		t.Fatalf("a node that reaches nobody must read itself: %v", alone)
	}
}

func TestReadersHaveTheHighestCapacity(t *testing.T) {
	table := NewTable(node("a0", 1, 1))
	for id, capacity := range map[string]int{"a1": 10, "a2": 200, "b1": 10, "b2": 190, "b3": 10, "c1": 200} {
		record := node(id, 1, 1)
		record.Capacity = capacity
		table.Merge([]Node{record})
	}
	readers := Readers(table.View(), func(string) bool { return true }, 3)
	slices.Sort(readers)
	if !slices.Equal(readers, []string{"a2", "b2", "c1"}) {
		t.Fatalf("readers %v", readers)
	}
}

func TestContactsSpreadRetries(t *testing.T) {
	contacts, now := NewContacts(), time.Unix(1000, 0)
	if !contacts.Reachable("a") || !contacts.Failed("a", now, 0.5) || contacts.Failed("a", now, 0.5) {
		t.Fatal("only the first failure makes a reachable node unreachable")
	}
	if contacts.Reachable("a") || len(contacts.Due(now)) != 0 || len(contacts.Due(now.Add(time.Minute))) != 1 {
		t.Fatal("the next attempt is not delayed")
	}
	if !contacts.Reached("a") || !contacts.Reachable("a") {
		t.Fatal("an answer must make the node reachable again")
	}
}

func TestDrainCommitmentsOutliveTheIncarnationThatMadeThem(t *testing.T) {
	table := NewTable(node("self", 1, 1))
	previous := node("a", 2, 3)
	previous.Workers = []workers.Worker{
		{Instance: "draining", State: workers.StateDraining},
		{Instance: "ready", State: workers.StateReady},
	}
	if table.Merge([]Node{previous}); table.KnowsPrevious("a", 2) || !table.KnowsPrevious("a", 3) {
		t.Fatal("the first incarnation must not count as previous to itself")
	}
	table.Merge([]Node{node("a", 3, 1)})
	if !table.KnowsPrevious("a", 3) || table.KnowsPrevious("b", 1) {
		t.Fatal("the previous incarnation is forgotten, or one of an unknown node is known")
	}
	committed := table.DrainCommitted("a")
	if len(committed) != 1 || committed[0].Instance != "draining" {
		t.Fatalf("drain commitments %v", committed)
	}
}

func TestRestartedNodeOutlivesItsFormerRecord(t *testing.T) {
	table := NewTable(node("self", 5, 1))
	previous := node("self", 9, 4)
	table.SupersedePrevious(previous)
	if own := table.View().Self(); !own.NewerThan(previous) {
		t.Fatalf("own record %+v", own)
	}
}

// TestDifferingBucketsHoldTheMissingRecords merges the records of the differing buckets of
// one table into another, which must then be equal.
func TestDifferingBucketsHoldTheMissingRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, two := NewTable(node("self", 1, 1)), NewTable(node("other", 1, 1))
		two.Merge([]Node{node("self", 1, 1)})
		for i := range rapid.IntRange(0, 200).Draw(t, "records") {
			record := node(fmt.Sprintf("n%03d", i), 1, 1)
			two.Merge([]Node{record})
			if rapid.Bool().Draw(t, "known") {
				one.Merge([]Node{record})
			}
		}
		digests := one.View().Digests()
		for _, missing := range two.View().InBuckets(two.View().Differing(digests[:])) {
			one.Merge([]Node{*missing})
		}
		if one.View().Digest() != two.View().Digest() {
			t.Fatal("tables differ")
		}
	})
}

// TestViewsAreImmutable changes a table after a view of it was taken; the view must not change.
func TestViewsAreImmutable(t *testing.T) {
	table := NewTable(node("m", 1, 1))
	table.Merge([]Node{node("a", 1, 1), node("z", 1, 1)})
	before := table.View()
	digest := before.Digest()
	table.Merge([]Node{node("a", 2, 1), node("k", 1, 1)})
	table.Update(func(own *Node) { own.State = StateLeaving })
	table.Remove("z")
	if held, _ := before.Node("a"); len(before.Nodes()) != 3 || held.Incarnation != 1 || before.Self().State != StateLive || before.Digest() != digest {
		t.Fatalf("the view has changed: %v", before.Nodes())
	}
	if after := table.View(); len(after.Nodes()) != 3 || after.Digest() == digest {
		t.Fatalf("nodes %v", after.Nodes())
	}
}

// TestListedRecordIsOlderThanWhatItsNodeTells guards against a record that another program has written
// into a list, and that no record of the node outranks.
func TestListedRecordIsOlderThanWhatItsNodeTells(t *testing.T) {
	for _, sequence := range []uint64{0, 1, FirstSequence - 1, FirstSequence, FirstSequence + 9, 1 << 63, math.MaxUint64} {
		listed := node("a", 3, sequence).AsListed()
		if !node("a", 3, FirstSequence).NewerThan(listed) || listed.Replaced() {
			t.Errorf("sequence %d is listed as %d", sequence, listed.Sequence)
		}
	}
	if earlier, later := node("a", 3, FirstSequence+1).AsListed(), node("a", 3, FirstSequence+2).AsListed(); !later.NewerThan(earlier) {
		t.Error("listed records have lost their order")
	}
}

// TestRecordOfAnotherProgramUnderTheOwnNameIsOutranked guards against a node that all others take to be
// elsewhere, or gone, since a record under its name has its incarnation and a later sequence.
func TestRecordOfAnotherProgramUnderTheOwnNameIsOutranked(t *testing.T) {
	for _, other := range []Node{at(addressY, "self", 5, 9), *at(addressY, "self", 5, 1).asReplaced()} {
		table := NewTable(at(addressX, "self", 5, 1))
		merged := table.Merge([]Node{other})
		if merged.PreviousSelf == nil {
			t.Fatalf("%+v: merged %+v", other, merged)
		}
		table.SupersedePrevious(*merged.PreviousSelf)
		if own := table.View().Self(); !own.NewerThan(other) || own.State != StateLive || own.ControlAddress != addressX {
			t.Errorf("own record %+v", own)
		}
	}
}
