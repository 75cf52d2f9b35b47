package rollout

import "fmt"

// FloorAnswer is one node's answer to a restarted node about the lowest version
// that the restarted node may run.
type FloorAnswer struct {
	// Confirmed is set if the store was read after the request began.
	// Committed is then the committed version.
	Confirmed bool
	// SameZone is set if the answering node is in the restarted node's zone.
	SameZone bool
	// Zone names the zone, with its region, of an answering node in another zone.
	Zone string
	// Known is set if the answering node itself has a floor and a head. Other
	// answers are not counted.
	Known bool
	// Committed is the highest version that the answering node, or any node that
	// has reported to it, runs or knows to be committed. Staged is the highest
	// that one of them holds or knows to be proposed. The relay of a zone thereby
	// answers for its entire zone.
	Committed Version
	Staged    Version
	// ZoneMembers is how many members of the restarted node's zone, excluding that
	// node, the answering node knows. Zones is in how many other zones it knows
	// members. Both count lost members. A node that has just started knows few
	// members itself, and must not take the first answer for a majority.
	ZoneMembers int
	Zones       int
}

// FloorQuorum describes the members whose answers are needed while the store cannot be read.
type FloorQuorum struct {
	// ZoneMembers is the number of other members of the node's zone that it
	// knows itself, lost ones included.
	ZoneMembers int
	// OtherZones is set if there are members in other zones, of which at least
	// one must answer.
	OtherZones bool
	// Zones is the number of other zones with known members, lost ones included.
	// More than half of all zones, counting the node's own, must answer.
	Zones int
}

// FloorDecision is the result of evaluating the answers.
type FloorDecision struct {
	Floor   Version
	Decided bool
	// Reason says what is missing while the floor is not decided.
	Reason string
}

// floorTally sums up answers.
type floorTally struct {
	confirmed         bool
	committed, staged Version
	sameZone          int
	zoneMembers       int
	otherZones        int
	answeredZones     map[string]struct{}
}

// DecideFloor computes the lowest version that a restarted node may run. An
// answer confirmed by the store is enough. Without one it needs a majority of
// the zone and answers from more than half of all zones, both counted by the
// largest view among the answers, and none of them may know of a version that could
// have been committed without their knowledge. Before CoordinatorOptions.MaximumAge has
// passed, a coordinator commits only what half of the members have staged, so at least
// one of the answering nodes knows of it. A commit after MaximumAge, which fewer members
// may have staged, is not covered by this argument.
func DecideFloor(quorum FloorQuorum, answers []FloorAnswer) FloorDecision {
	tally := floorTally{
		zoneMembers:   quorum.ZoneMembers,
		otherZones:    quorum.Zones,
		answeredZones: make(map[string]struct{}),
	}
	if quorum.OtherZones {
		tally.otherZones = max(tally.otherZones, 1)
	}
	for _, answer := range answers {
		tally.add(answer)
	}
	if !tally.confirmed {
		if reason := tally.missing(); reason != "" {
			return FloorDecision{Reason: reason}
		}
	}
	return FloorDecision{Floor: tally.committed, Decided: true}
}

func (t *floorTally) add(answer FloorAnswer) {
	if answer.Confirmed {
		t.confirmed = true
		t.committed = max(t.committed, answer.Committed)
		return
	}
	if !answer.Known {
		return
	}
	t.committed = max(t.committed, answer.Committed)
	t.staged = max(t.staged, answer.Staged)
	t.zoneMembers = max(t.zoneMembers, answer.ZoneMembers)
	t.otherZones = max(t.otherZones, answer.Zones)
	if answer.SameZone {
		t.sameZone++
	} else {
		t.answeredZones[answer.Zone] = struct{}{}
	}
}

// missing returns why the answers of other nodes are not sufficient; empty
// when they are.
func (t *floorTally) missing() string {
	neededMembers := t.zoneMembers/2 + 1
	neededZones := (t.otherZones + 1) / 2
	switch {
	case t.zoneMembers == 0 && neededZones == 0:
		return "the store cannot be read, and no other node is known"
	case t.zoneMembers > 0 && t.sameZone < neededMembers:
		return fmt.Sprintf("the store cannot be read, and %d of the %d answers needed from the zone have arrived", t.sameZone, neededMembers)
	case len(t.answeredZones) < neededZones:
		return fmt.Sprintf("the store cannot be read, and %d of the %d answers needed from other zones have arrived", len(t.answeredZones), neededZones)
	case t.staged > t.committed:
		return fmt.Sprintf("the store cannot be read, and version %d may have been committed", t.staged)
	default:
		return ""
	}
}
