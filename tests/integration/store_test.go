package integration_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/internal/lab/observe"
	"github.com/levertide/levertide/internal/lab/platform"
	"github.com/levertide/levertide/internal/platform/consul/wire"
	"github.com/levertide/levertide/pkg/versionstore"
	"github.com/levertide/levertide/tests/integration/harness"
)

// outages are the kinds of store outage.
var outages = []platform.Outage{platform.OutageRefuse, platform.OutageClose, platform.OutageNoLeader}

func TestStoreDownBeforeApply(t *testing.T) {
	mesh, first := running(t, twoZones()...)
	for _, outage := range outages {
		mark := mesh.Events.Mark()
		mesh.Store.SetFaults(platform.Faults{Outage: outage})
		apply, _, err := mesh.Operator.Propose(first, resources(2))
		if err == nil {
			t.Fatalf("%s: apply %s was accepted while the store is down", outage, apply)
		}
		mesh.Events.AwaitAfter(mark, "", "store unreachable", isStoreUnreachable)
		for _, node := range mesh.Nodes("") {
			get(t, mesh, node, 1)
		}
		mesh.Store.SetFaults(platform.Faults{})
		mesh.Eventually("the nodes see that the store answers again", func() bool {
			return mesh.Events.Count(0, isStoreReachable) == mesh.Events.Count(0, isStoreUnreachable)
		})
	}
	second := mesh.Operator.Apply(resources(3))
	mesh.AwaitVersion(second, mesh.Nodes("")...)
}

func TestStoreDownDuringApply(t *testing.T) {
	mesh, first := running(t, twoZones()...)
	paused := mesh.Node("b-ledger-2")
	paused.Pause()
	apply, version, err := mesh.Operator.Propose(first, resources(2))
	if err != nil {
		t.Fatal(err)
	}
	mesh.Events.Await("a-ledger-1", "version staged", staged(version))
	mesh.Store.SetFaults(platform.Faults{Outage: platform.OutageRefuse})
	paused.Resume()
	mesh.Events.Await(paused.Name, "version staged", staged(version))
	mesh.Store.SetFaults(platform.Faults{})
	mesh.Operator.ExpectCommit(apply)
	mesh.AwaitVersion(version, mesh.Nodes("")...)
}

func TestStoreDownAfterApply(t *testing.T) {
	mesh, first := running(t, twoZones()...)
	apply, version, err := mesh.Operator.Propose(first, resources(2))
	if err != nil {
		t.Fatal(err)
	}
	mesh.Operator.ExpectCommit(apply)
	mesh.Store.SetFaults(platform.Faults{Outage: platform.OutageClose})
	mesh.AwaitVersion(version, mesh.Nodes("")...)
	for _, node := range mesh.Nodes("") {
		get(t, mesh, node, 2)
	}
}

func TestAnswersOfWritesAreLost(t *testing.T) {
	mesh, version := running(t, twoZones()...)
	for generation := 2; generation <= 4; generation++ {
		mesh.Store.SetFaults(platform.Faults{LoseAnswers: 3, OnlyPath: wire.PathTransaction})
		next := mesh.Operator.Apply(resources(generation))
		if next != version+1 {
			t.Errorf("version %d after %d: a lost answer consumed a version number", next, version)
		}
		version = next
		mesh.AwaitVersion(version, mesh.Nodes("")...)
	}
}

func TestStoreRestoredFromOlderCopy(t *testing.T) {
	mesh, _ := running(t, twoZones()...)
	copied := mesh.Store.State()
	second := mesh.Operator.Apply(resources(2))
	mesh.AwaitVersion(second, mesh.Nodes("")...)
	newest := mesh.Operator.Head()
	mark := mesh.Events.Mark()
	mesh.Store.Restore(copied)
	mesh.Events.AwaitAfter(mark, "", "store regressed", func(event observe.Event) bool {
		return event.Number == observe.EventStoreRegressed
	})
	for _, node := range mesh.Nodes("") {
		get(t, mesh, node, 2)
	}

	late := mesh.NewOperator("late")
	apply, third, err := late.ProposeAfterRestore(newest, resources(3))
	if err != nil {
		t.Fatal(err)
	}
	if third <= second {
		t.Errorf("version %d was proposed after %d was in force", third, second)
	}
	late.ExpectCommit(apply)
	mesh.AwaitVersion(third, mesh.Nodes("")...)
}

func TestOperatorsRace(t *testing.T) {
	mesh, first := running(t, twoZones()...)
	const operators, applies = 3, 2
	versions := make(chan uint64)
	for number := range operators {
		operator := mesh.NewOperator(string(rune('x' + number)))
		go func() {
			for range applies {
				versions <- applyUntilAccepted(t, operator, number+2)
			}
		}()
	}
	seen := make(map[uint64]bool)
	highest := first
	for range operators * applies {
		version := <-versions
		if seen[version] || version <= first {
			t.Errorf("version %d was assigned twice or is not new", version)
		}
		seen[version] = true
		highest = max(highest, version)
	}
	mesh.AwaitVersion(highest, mesh.Nodes("")...)
}

// applyUntilAccepted proposes a set based on the committed version until no other
// operator conflicts. A conflict or a rollout in progress is the only error allowed.
func applyUntilAccepted(t *testing.T, operator *harness.Operator, generation int) uint64 {
	bound := time.After(time.Minute)
	for {
		apply, _, err := operator.Propose(operator.Head().Committed, resources(generation))
		if err == nil {
			return operator.Outcome(apply).Version
		}
		if !errorx.IsOfType(err, versionstore.ErrConflict) && !errorx.IsOfType(err, versionstore.ErrRolloutInProgress) {
			t.Errorf("apply: %v", err)
			return 0
		}
		select {
		case <-bound:
			t.Error("apply was not accepted within a minute")
			return 0
		default:
		}
	}
}

func staged(version uint64) func(observe.Event) bool {
	return func(event observe.Event) bool {
		return event.Number == observe.EventVersionStaged && event.Version == version
	}
}

func inForce(version uint64) func(observe.Event) bool {
	return func(event observe.Event) bool {
		return event.Number == observe.EventVersionInForce && event.Version == version
	}
}

// eventStoreReachable is the event number listed in docs/EVENTS.md.
const eventStoreReachable observe.EventNumber = 401

func isStoreReachable(event observe.Event) bool { return event.Number == eventStoreReachable }

func isStoreUnreachable(event observe.Event) bool {
	return event.Number == observe.EventStoreUnreachable
}

func TestUnreadableVersionIsAborted(t *testing.T) {
	mesh, first := running(t, twoZones()...)
	for _, node := range mesh.Nodes("") {
		node.Pause()
	}
	apply, broken, err := mesh.Operator.Propose(first, resources(2))
	if err != nil {
		t.Fatal(err)
	}
	mesh.Operator.Overwrite(fmt.Sprintf("levertide/version/%020d", broken), "no record of a version")
	for _, node := range mesh.Nodes("") {
		node.Resume()
	}
	mesh.Eventually("the version is rejected", func() bool { return mesh.Operator.Head().LastRejected != nil })
	if rejected := mesh.Operator.Head().LastRejected; rejected.ApplyID != apply || rejected.Reason == "" {
		t.Errorf("rejection %+v", rejected)
	}
	second := mesh.Operator.Apply(resources(3))
	mesh.AwaitVersion(second, mesh.Nodes("")...)
}
