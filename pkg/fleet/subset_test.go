package fleet_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/levertide/levertide/pkg/fleet"
)

func zonedNodes(zones, each int) []*fleet.Node {
	var nodes []*fleet.Node
	for z := range zones {
		for i := range each {
			nodes = append(nodes, &fleet.Node{ID: fmt.Sprintf("n-%d-%03d", z, i), Zone: fmt.Sprint(z)})
		}
	}
	return nodes
}

func TestSubsetIsBoundedAndFull(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := zonedNodes(rapid.IntRange(1, 5).Draw(t, "zones"), rapid.IntRange(0, 30).Draw(t, "each"))
		total := rapid.IntRange(1, 40).Draw(t, "total")
		near := rapid.IntRange(0, total).Draw(t, "near")
		chosen := fleet.Subset(nodes, "self", "0", near, total)
		if want := min(total, len(nodes)); len(chosen) != want {
			t.Fatalf("%d chosen of %d, want %d", len(chosen), len(nodes), want)
		}
		seen := map[string]bool{}
		for _, n := range chosen {
			if seen[n.ID] {
				t.Fatalf("%s twice", n.ID)
			}
			seen[n.ID] = true
		}
	})
}

func TestSubsetPrefersTheOwnZone(t *testing.T) {
	chosen := fleet.Subset(zonedNodes(4, 50), "self", "2", 16, 24)
	own := 0
	for _, n := range chosen {
		if n.Zone == "2" {
			own++
		}
	}
	if own != 16 {
		t.Errorf("%d of the own zone, want 16", own)
	}
}

// TestSubsetsSpreadEvenly counts for each node how many others chose it.
func TestSubsetsSpreadEvenly(t *testing.T) {
	nodes := zonedNodes(4, 100)
	chosenBy := map[string]int{}
	for _, caller := range nodes {
		for _, n := range fleet.Subset(nodes, caller.ID, caller.Zone, 16, 24) {
			chosenBy[n.ID]++
		}
	}
	for id, count := range chosenBy {
		if count < 8 || count > 48 {
			t.Errorf("%s was chosen by %d nodes, want about 24", id, count)
		}
	}
	if len(chosenBy) != len(nodes) {
		t.Errorf("%d of %d nodes were chosen", len(chosenBy), len(nodes))
	}
}

func TestSubsetChangesLittle(t *testing.T) {
	nodes := zonedNodes(4, 50)
	before := fleet.Subset(nodes, "self", "0", 16, 24)
	held := map[string]bool{}
	for _, n := range before {
		held[n.ID] = true
	}
	kept := 0
	for _, n := range fleet.Subset(nodes[1:], "self", "0", 16, 24) {
		if held[n.ID] {
			kept++
		}
	}
	if kept < 23 {
		t.Errorf("%d of 24 kept when one node left", kept)
	}
}
