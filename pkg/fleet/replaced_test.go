package fleet

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/levertide/levertide/pkg/workers"
)

// at returns the record of a node with a control address.
func at(address, id string, incarnation, sequence uint64) Node {
	n := node(id, incarnation, sequence)
	n.ControlAddress = address
	return n
}

// replacing adds to a record that it has replaced another one.
func replacing(n Node, id string, incarnation uint64) Node {
	n.Replaced = append(n.Replaced, Replacement{ID: id, Incarnation: incarnation})
	return n
}

func ids(view *View) []string {
	var list []string
	for _, n := range view.Nodes() {
		list = append(list, n.ID)
	}
	return list
}

// TestNodeAtAReusedAddressNamesTheOneBefore guards against two nodes that all others believe in,
// though both have the same address.
func TestNodeAtAReusedAddressNamesTheOneBefore(t *testing.T) {
	table := NewTable(at("x", "self", 5, 1))
	merged := table.Merge([]Node{at("x", "ended", 9, 4), at("y", "other", 1, 1)})
	if want := []Replaced{{ID: "ended", By: "self"}}; !slices.Equal(merged.Replaced, want) || !merged.SelfChanged {
		t.Fatalf("merged %+v", merged)
	}
	own := table.View().Self()
	if want := []Replacement{{ID: "ended", Incarnation: 9}}; !slices.Equal(own.Replaced, want) || own.Sequence != 2 || own.Incarnation != 5 {
		t.Fatalf("own record %+v", own)
	}
	if got := ids(table.View()); !slices.Equal(got, []string{"other", "self"}) {
		t.Fatalf("nodes %v", got)
	}
	if again := table.Merge([]Node{at("x", "ended", 9, 5)}); again.SelfChanged || len(again.Replaced) > 0 || len(again.Updates) > 0 {
		t.Errorf("a late record: merged %+v", again)
	}
}

// TestNodeThatHasLeftIsNotReplaced expects no news of a node that everybody knows to have left.
func TestNodeThatHasLeftIsNotReplaced(t *testing.T) {
	table := NewTable(at("x", "self", 5, 1))
	left := at("x", "left", 4, 4)
	left.State = StateLeft
	if merged := table.Merge([]Node{left}); merged.SelfChanged {
		t.Errorf("merged %+v", merged)
	}
}

// TestReplacementsHoldInAnyOrder merges records in any order, also of nodes that are replaced in
// turn, and expects the same nodes.
func TestReplacementsHoldInAnyOrder(t *testing.T) {
	records := []Node{
		at("x", "a", 1, 1), at("x", "a", 1, 2),
		at("x", "b", 2, 1), replacing(at("x", "b", 2, 2), "a", 1),
		at("x", "c", 3, 1), replacing(replacing(at("x", "c", 3, 2), "a", 1), "b", 2),
		at("y", "d", 1, 1),
	}
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(at("z", "self", 1, 1))
		for _, n := range rapid.Permutation(records).Draw(t, "order") {
			table.Merge([]Node{n})
		}
		if got := ids(table.View()); !slices.Equal(got, []string{"c", "d", "self"}) {
			t.Fatalf("nodes %v", got)
		}
		if got := table.View().Replaced(); !slices.Equal(got, []string{"a", "b"}) {
			t.Fatalf("replaced %v", got)
		}
		all := NewTable(at("z", "self", 1, 1))
		all.Merge(records)
		if all.View().Digest() != table.View().Digest() {
			t.Fatal("tables differ")
		}
	})
}

// TestReplacedNodeComesBack starts a node that was replaced again, at another address.
func TestReplacedNodeComesBack(t *testing.T) {
	table := NewTable(at("z", "self", 1, 1))
	before := at("x", "a", 3, 1)
	before.Workers = []workers.Worker{{Instance: "w", State: workers.StateDraining}}
	table.Merge([]Node{before, replacing(at("x", "b", 2, 1), "a", 3)})
	if held, known := table.Newest("a"); !known || held.Incarnation != 3 {
		t.Fatalf("held %+v", held)
	}
	if committed := table.DrainCommitted("a"); len(committed) != 1 || !table.KnowsPrevious("a", 4) {
		t.Fatalf("drain commitments %v", committed)
	}
	table.Merge([]Node{at("y", "a", 4, 1)})
	if got := ids(table.View()); !slices.Equal(got, []string{"a", "b", "self"}) || len(table.View().Replaced()) > 0 {
		t.Fatalf("nodes %v, replaced %v", got, table.View().Replaced())
	}
	if committed := table.DrainCommitted("a"); len(committed) != 1 {
		t.Errorf("drain commitments %v", committed)
	}
	table.Merge([]Node{replacing(at("x", "b", 2, 2), "a", 3)})
	if _, known := table.View().Node("a"); !known || len(table.View().Replaced()) > 0 {
		t.Error("a repeated record drops the later incarnation")
	}
}

// TestNodeWhoseClockWasSetBackOutranksItsEnd starts a node again, at another address, with a lower
// incarnation than the one that another node has replaced.
func TestNodeWhoseClockWasSetBackOutranksItsEnd(t *testing.T) {
	table := NewTable(at("y", "self", 5, 1))
	merged := table.Merge([]Node{replacing(at("x", "b", 9, 1), "self", 7)})
	if own := table.View().Self(); own.Incarnation != 8 || !merged.SelfChanged {
		t.Fatalf("own record %+v", own)
	}
	if again := table.Merge([]Node{replacing(at("x", "b", 9, 2), "self", 7)}); again.SelfChanged {
		t.Error("the own record changes again")
	}
}

// TestTwoNodesWithOneAddressDoNotAnswerEachOtherForEver has two processes claim one address.
func TestTwoNodesWithOneAddressDoNotAnswerEachOtherForEver(t *testing.T) {
	one, two := NewTable(at("x", "one", 1, 1)), NewTable(at("x", "two", 2, 1))
	for range 5 {
		one.Merge([]Node{two.View().Self()})
		two.Merge([]Node{one.View().Self()})
	}
	if own := one.View().Self(); own.Incarnation != 1 || own.Sequence > 3 {
		t.Errorf("own record %+v", own)
	}
	if own := two.View().Self(); own.Incarnation != 2 || own.Sequence > 3 {
		t.Errorf("own record %+v", own)
	}
}

// TestRecordNamesFewReplacedNodes guards against records that grow with each use of an address.
func TestRecordNamesFewReplacedNodes(t *testing.T) {
	table := NewTable(at("x", "self", 50, 1))
	for n := range 3 * maximumReplacements {
		table.Merge([]Node{at("x", string(rune('a'+n)), 1, 1)})
	}
	named := table.View().Self().Replaced
	if len(named) != maximumReplacements || named[maximumReplacements-1].ID != string(rune('a'+3*maximumReplacements-1)) {
		t.Errorf("named %v", named)
	}
}

// TestRemovedNodeMayReturn expects that a node is forgotten as a whole.
func TestRemovedNodeMayReturn(t *testing.T) {
	table := NewTable(at("z", "self", 1, 1))
	table.Merge([]Node{at("x", "a", 1, 1), replacing(at("x", "b", 2, 1), "a", 1)})
	table.Remove("a")
	if len(table.View().Replaced()) > 0 {
		t.Errorf("replaced %v", table.View().Replaced())
	}
	if _, known := table.Newest("a"); known {
		t.Error("the record is still held")
	}
}
