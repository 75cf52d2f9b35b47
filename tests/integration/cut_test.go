package integration_test

import (
	"testing"

	"github.com/levertide/levertide/tests/integration/harness"
)

func threeZones() []harness.NodeOptions {
	return append(twoZones(),
		harness.NodeOptions{Name: "c-gateway", Zone: "c"},
		harness.NodeOptions{Name: "c-ledger-1", Zone: "c", Service: ledger},
	)
}

func TestZoneCutOffDuringCommitCatchesUp(t *testing.T) {
	mesh, _ := running(t, threeZones()...)
	mesh.CutZone("c")
	mesh.CutStore("c")
	second := mesh.Operator.Apply(resources(2))
	mesh.AwaitVersion(second, append(mesh.Nodes("a"), mesh.Nodes("b")...)...)
	for _, node := range mesh.Nodes("c") {
		get(t, mesh, node, 1)
	}
	mesh.HealStore("c")
	mesh.Links.HealAll()
	mesh.AwaitVersion(second, mesh.Nodes("")...)
	third := mesh.Operator.Apply(resources(3))
	mesh.AwaitVersion(third, mesh.Nodes("")...)
	for _, node := range mesh.Nodes("") {
		get(t, mesh, node, 3)
	}
}

func TestOneDirectionIsCut(t *testing.T) {
	for _, direction := range [][2]string{{"a", "b"}, {"b", "a"}} {
		t.Run(direction[0]+" to "+direction[1], func(t *testing.T) {
			mesh, _ := running(t, twoZones()...)
			mesh.CutOneWay(direction[0], direction[1])
			second := mesh.Operator.Apply(resources(2))
			mesh.Links.HealAll()
			mesh.AwaitVersion(second, mesh.Nodes("")...)
			third := mesh.Operator.Apply(resources(3))
			mesh.AwaitVersion(third, mesh.Nodes("")...)
			for _, node := range mesh.Nodes("") {
				get(t, mesh, node, 3)
			}
		})
	}
}

func TestControlConnectionsBreakAgainAndAgain(t *testing.T) {
	mesh, _ := running(t, twoZones()...)
	for _, node := range mesh.Nodes("") {
		err := node.Control.AddToxic(harness.Toxic{
			Name: "breaks", Type: "limit_data", Stream: "downstream", Attributes: map[string]int{"bytes": 4096},
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	var version uint64
	for generation := 2; generation <= 4; generation++ {
		version = mesh.Operator.Apply(resources(generation))
	}
	for _, node := range mesh.Nodes("") {
		node.Control.RemoveToxics()
	}
	mesh.AwaitVersion(version, mesh.Nodes("")...)
}
