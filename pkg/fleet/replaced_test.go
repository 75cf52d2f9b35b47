package fleet

import (
	"net/netip"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/levertide/levertide/pkg/workers"
)

// Control addresses of nodes.
var (
	addressX = netip.MustParseAddrPort("10.0.0.1:70")
	addressY = netip.MustParseAddrPort("10.0.0.2:70")
	addressZ = netip.MustParseAddrPort("10.0.0.3:70")
)

// at returns the record of a node with a control address.
func at(address netip.AddrPort, id string, incarnation, sequence uint64) Node {
	n := node(id, incarnation, sequence)
	n.ControlAddress = address
	return n
}

// present returns the identifiers of the nodes that have not left.
func present(view *View) []string {
	var list []string
	for _, n := range view.Nodes() {
		if n.State != StateLeft {
			list = append(list, n.ID)
		}
	}
	return list
}

// TestNodeAtAReusedAddressEndsTheOneBefore guards against two nodes that all others believe in,
// though both have the same address.
func TestNodeAtAReusedAddressEndsTheOneBefore(t *testing.T) {
	table := NewTable(at(addressX, "self", 5, 1))
	ended := at(addressX, "ended", 9, 4)
	ended.Workers = []workers.Worker{{Instance: "w", State: workers.StateDraining}}
	merged := table.Merge([]Node{ended, at(addressY, "other", 1, 1)})
	if len(merged.Replaced) != 1 || merged.Replaced[0].ID != "ended" || !merged.Replaced[0].Replaced() {
		t.Fatalf("merged %+v", merged)
	}
	if got := present(table.View()); !slices.Equal(got, []string{"other", "self"}) || table.View().Count() != 2 {
		t.Fatalf("nodes %v, %d counted", got, table.View().Count())
	}
	if committed := table.DrainCommitted("ended"); len(committed) != 1 || !table.KnowsPrevious("ended", 10) {
		t.Errorf("drain commitments %v", committed)
	}
	if again := table.Merge([]Node{at(addressX, "ended", 9, 5)}); len(again.Replaced)+len(again.Updates) > 0 {
		t.Errorf("a late record: merged %+v", again)
	}
}

// TestNodesThatMayBothBeThere expects that nodes without an address of their own, and those that
// have left, end no other.
func TestNodesThatMayBothBeThere(t *testing.T) {
	left := at(addressX, "left", 4, 4)
	left.State = StateLeft
	for _, c := range []struct{ own, other Node }{
		{at(addressX, "self", 5, 1), left},
		{at(netip.AddrPort{}, "self", 5, 1), at(netip.AddrPort{}, "other", 1, 1)},
		{at(netip.MustParseAddrPort("127.0.0.1:0"), "self", 5, 1), at(netip.MustParseAddrPort("127.0.0.1:0"), "other", 1, 1)},
		{at(netip.MustParseAddrPort("0.0.0.0:70"), "self", 5, 1), at(netip.MustParseAddrPort("0.0.0.0:70"), "other", 1, 1)},
		{at(netip.MustParseAddrPort("[::]:70"), "self", 5, 1), at(netip.MustParseAddrPort("[::]:70"), "other", 1, 1)},
	} {
		if merged := NewTable(c.own).Merge([]Node{c.other}); len(merged.Replaced) > 0 {
			t.Errorf("%v: merged %+v", c.own.ControlAddress, merged)
		}
	}
}

// TestReplacementsHoldInAnyOrder merges records in any order, also of nodes that are replaced in
// turn, and expects the same nodes.
func TestReplacementsHoldInAnyOrder(t *testing.T) {
	records := []Node{
		at(addressX, "a", 1, 1), at(addressX, "a", 1, 2), *at(addressX, "a", 1, 2).asReplaced(),
		at(addressX, "b", 2, 1), *at(addressX, "b", 2, 1).asReplaced(),
		at(addressX, "c", 3, 1), at(addressX, "c", 3, 2),
		at(addressY, "d", 1, 1),
	}
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(at(addressZ, "self", 1, 1))
		for _, n := range rapid.Permutation(records).Draw(t, "order") {
			table.Merge([]Node{n})
		}
		if got := present(table.View()); !slices.Equal(got, []string{"c", "d", "self"}) {
			t.Fatalf("nodes %v", got)
		}
		all := NewTable(at(addressZ, "self", 1, 1))
		all.Merge(records)
		if all.View().Digest() != table.View().Digest() {
			t.Fatal("tables differ")
		}
	})
}

// TestReplacedNodeComesBack starts a node that was replaced again, at another address.
func TestReplacedNodeComesBack(t *testing.T) {
	table := NewTable(at(addressZ, "self", 1, 1))
	before := at(addressX, "a", 3, 1)
	before.Workers = []workers.Worker{{Instance: "w", State: workers.StateDraining}}
	table.Merge([]Node{*before.asReplaced(), at(addressX, "b", 2, 1)})
	table.Merge([]Node{at(addressY, "a", 4, 1)})
	if got := present(table.View()); !slices.Equal(got, []string{"a", "b", "self"}) {
		t.Fatalf("nodes %v", got)
	}
	if committed := table.DrainCommitted("a"); len(committed) != 1 || !table.KnowsPrevious("a", 4) {
		t.Errorf("drain commitments %v", committed)
	}
	if merged := table.Merge([]Node{*before.asReplaced()}); len(merged.Updates) > 0 {
		t.Error("the last record of the incarnation before drops the later one")
	}
}

// TestNodeWhoseClockWasSetBackOutranksItsEnd starts a node again, at another address, with a lower
// incarnation than the one that another node has replaced.
func TestNodeWhoseClockWasSetBackOutranksItsEnd(t *testing.T) {
	table := NewTable(at(addressY, "self", 5, 1))
	merged := table.Merge([]Node{*at(addressX, "self", 7, 1).asReplaced()})
	if merged.PreviousSelf == nil {
		t.Fatalf("merged %+v", merged)
	}
	table.SupersedePrevious(*merged.PreviousSelf)
	if own := table.View().Self(); own.Incarnation != 8 || own.State != StateLive {
		t.Errorf("own record %+v", own)
	}
}

// TestTwoNodesWithOneAddressDoNotAnswerEachOtherForEver has two processes believe to have one
// address.
func TestTwoNodesWithOneAddressDoNotAnswerEachOtherForEver(t *testing.T) {
	one, two := NewTable(at(addressX, "one", 1, 1)), NewTable(at(addressX, "two", 2, 1))
	for range 5 {
		for _, n := range two.Merge([]Node{one.View().Self()}).Replaced {
			if merged := one.Merge([]Node{n}); merged.PreviousSelf != nil || len(merged.Updates) > 0 {
				t.Fatalf("merged %+v", merged)
			}
		}
		one.Merge([]Node{two.View().Self()})
	}
	if a, b := one.View().Self(), two.View().Self(); a.Sequence != 1 || a.State != StateLive || b.Sequence != 1 || b.State != StateLive {
		t.Errorf("own records %+v, %+v", a, b)
	}
}
