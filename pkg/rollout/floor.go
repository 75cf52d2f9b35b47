package rollout

import "fmt"

// FloorAnswer is what one node tells a restarted one about the lowest version
// that it may run.
type FloorAnswer struct {
	// Confirmed tells that the store was read after the request began.
	// Committed is then the committed version.
	Confirmed bool
	// SameZone tells that the answering node is of the restarted node's zone.
	SameZone bool
	// Zone names the zone of an answering node of another zone, with its region.
	Zone string
	// Known tells that the answering node has itself a floor and a head. An
	// answer without is not counted.
	Known bool
	// Committed is the highest version that the answering node, or any node that
	// has reported to it, runs or knows to be committed, and Staged the highest
	// that one of them holds or knows to be proposed. The relay of a zone so
	// answers for its whole zone.
	Committed Version
	Staged    Version
	// ZoneMembers is how many members of the restarted node's zone, itself left
	// out, the answering node knows, and Zones in how many other zones it knows
	// members; lost ones are counted in both. A node that has just started
	// knows few itself, and must not take the first answer for a majority.
	ZoneMembers int
	Zones       int
}

// FloorQuorum says whose answers are needed while the store cannot be read.
type FloorQuorum struct {
	// ZoneMembers is the number of other members of the node's zone that it
	// knows itself, lost ones included.
	ZoneMembers int
	// OtherZones tells that there are members in other zones, of which at least
	// one must answer.
	OtherZones bool
	// Zones is the number of other zones that members are known in, lost ones
	// included. Of all zones, the node's own among them, more than half must answer.
	Zones int
}

// FloorDecision is what the answers amount to.
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

// DecideFloor works out the lowest version that a restarted node may run. An
// answer confirmed by the store is enough. Without one it takes a majority of
// the zone and answers from more than half of all zones, both as the largest
// view among the answers has them, and none of them may know of a version that could
// have been committed without their knowledge. A coordinator commits only what
// half of the members have staged, so that one of those asked knows of it.
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

// missing says what keeps the answers of other nodes from being enough; empty
// when they are.
func (t *floorTally) missing() string {
	neededMembers := t.zoneMembers/2 + 1
	neededZones := (t.otherZones + 1) / 2
	switch {
	case t.zoneMembers == 0 && neededZones == 0:
		return "neither the store nor another node can be asked"
	case t.zoneMembers > 0 && t.sameZone < neededMembers:
		return fmt.Sprintf("the store cannot be read, and %d of the %d answers needed from the zone have come", t.sameZone, neededMembers)
	case len(t.answeredZones) < neededZones:
		return fmt.Sprintf("the store cannot be read, and %d of the %d answers needed from other zones have come", len(t.answeredZones), neededZones)
	case t.staged > t.committed:
		return fmt.Sprintf("the store cannot be read, and version %d may have been committed", t.staged)
	default:
		return ""
	}
}
