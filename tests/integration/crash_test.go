package integration_test

import (
	"testing"

	"github.com/levertide/levertide/internal/lab/observe"
	"github.com/levertide/levertide/internal/lab/platform"
	"github.com/levertide/levertide/tests/integration/harness"
)

const roleCoordinator = "coordinator"

// withRole waits until some node reports a role and returns that node.
func withRole(mesh *harness.Mesh, role string) *harness.Node {
	var found *harness.Node
	mesh.Eventually("a node is "+role, func() bool {
		for _, node := range mesh.Nodes("") {
			if node.Role() == role {
				found = node
			}
		}
		return found != nil
	})
	return found
}

// allExcept returns all nodes except one.
func allExcept(mesh *harness.Mesh, left *harness.Node) []*harness.Node {
	var others []*harness.Node
	for _, node := range mesh.Nodes("") {
		if node != left {
			others = append(others, node)
		}
	}
	return others
}

func TestPausedLeaseHolderDoesNoHarm(t *testing.T) {
	mesh, _ := running(t, twoZones()...)
	holder := withRole(mesh, roleCoordinator)
	holder.Pause()
	mesh.Store.LapseSessions()
	second := mesh.Operator.Apply(resources(2))
	mesh.AwaitVersion(second, allExcept(mesh, holder)...)
	third := mesh.Operator.Apply(resources(3))
	mesh.AwaitVersion(third, allExcept(mesh, holder)...)
	holder.Resume()
	mesh.AwaitVersion(third, holder)
	fourth := mesh.Operator.Apply(resources(4))
	mesh.AwaitVersion(fourth, mesh.Nodes("")...)
	get(t, mesh, holder, 4)
}

func TestRelayKilled(t *testing.T) {
	mesh, _ := running(t, twoZones()...)
	relay := withRole(mesh, "relay")
	relay.Kill()
	second := mesh.Operator.Apply(resources(2))
	mesh.AwaitVersion(second, allExcept(mesh, relay)...)
	relay.Start()
	mesh.AwaitReady(relay)
	get(t, mesh, relay, 2)
}

func TestCoordinatorKilledWhileVersionIsStaged(t *testing.T) {
	mesh, first := running(t, twoZones()...)
	coordinator := withRole(mesh, roleCoordinator)
	paused := allExcept(mesh, coordinator)[0]
	paused.Pause()
	apply, version, err := mesh.Operator.Propose(first, resources(2))
	if err != nil {
		t.Fatal(err)
	}
	mesh.Events.Await("", "version staged", staged(version))
	coordinator.Kill()
	paused.Resume()
	mesh.Operator.ExpectCommit(apply)
	mesh.AwaitVersion(version, allExcept(mesh, coordinator)...)
}

func TestZoneDiesAndStartsTogether(t *testing.T) {
	mesh, _ := running(t, twoZones()...)
	for _, node := range mesh.Nodes("a") {
		node.Kill()
	}
	second := mesh.Operator.Apply(resources(2))
	mesh.AwaitVersion(second, mesh.Nodes("b")...)
	for _, node := range mesh.Nodes("a") {
		node.Start()
	}
	mesh.AwaitReady(mesh.Nodes("a")...)
	mesh.AwaitVersion(second, mesh.Nodes("")...)
	for _, node := range mesh.Nodes("a") {
		get(t, mesh, node, 2)
	}
}

func TestAllStartTogetherWhileStoreIsDown(t *testing.T) {
	mesh, first := running(t, twoZones()...)
	for _, node := range mesh.Nodes("") {
		node.Kill()
	}
	mesh.Store.SetFaults(platform.Faults{Outage: platform.OutageRefuse})
	mark := mesh.Events.Mark()
	mesh.StartAll()
	for _, node := range mesh.Nodes("") {
		unready := mesh.Events.AwaitAfter(mark, node.Name, "unready", func(event observe.Event) bool {
			return event.Number == observe.EventUnready
		})
		if unready.Reason == "" {
			t.Errorf("%s is unready without a reason", node.Name)
		}
	}
	mesh.Events.AwaitAfter(mark, "", "floor missing", func(event observe.Event) bool {
		return event.Number == eventFloorMissing
	})
	for _, node := range mesh.Nodes("") {
		refused := harness.Call(t.Context(), node, harness.Request{Method: "POST", Path: path(1)})
		if refused.Status != 503 || refused.Outcome != "not-run" || refused.Reason != "not-ready" {
			t.Errorf("%s while no floor is known: %+v", node.Name, refused)
		}
	}
	if count := mesh.Events.Count(mark, isReady); count > 0 {
		t.Errorf("%d nodes became ready without a floor", count)
	}
	mesh.Store.SetFaults(platform.Faults{})
	mesh.AwaitReady(mesh.Nodes("")...)
	for _, node := range mesh.Nodes("") {
		get(t, mesh, node, 1)
	}
	second := mesh.Operator.Apply(resources(2))
	if second <= first {
		t.Errorf("version %d after %d", second, first)
	}
	mesh.AwaitVersion(second, mesh.Nodes("")...)
}

func TestOneNodeStartsAgainWhileStoreIsDown(t *testing.T) {
	mesh, _ := running(t, twoZones()...)
	second := mesh.Operator.Apply(resources(2))
	mesh.AwaitVersion(second, mesh.Nodes("")...)
	mesh.Store.SetFaults(platform.Faults{Outage: platform.OutageRefuse})
	node := mesh.Node("a-ledger-1")
	node.Kill()
	node.Start()
	mesh.AwaitReady(node)
	get(t, mesh, node, 2)
}

func TestNodeStagesAndDies(t *testing.T) {
	mesh, first := running(t, twoZones()...)
	paused, dying := mesh.Node("a-ledger-1"), mesh.Node("b-ledger-2")
	paused.Pause()
	apply, version, err := mesh.Operator.Propose(first, resources(2))
	if err != nil {
		t.Fatal(err)
	}
	mesh.Events.Await(dying.Name, "version staged", staged(version))
	dying.Kill()
	mesh.Operator.ExpectCommit(apply)
	dying.Start()
	paused.Resume()
	mesh.AwaitReady(dying)
	mesh.AwaitVersion(version, mesh.Nodes("")...)
	get(t, mesh, dying, 2)
}

// eventFloorMissing is the event number listed in docs/EVENTS.md.
const eventFloorMissing observe.EventNumber = 205

func isReady(event observe.Event) bool { return event.Number == observe.EventReady }
