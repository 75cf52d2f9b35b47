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
	// Known tells that the answering node has itself a floor and a head. An
	// answer without is not counted.
	Known bool
	// Committed is the highest version that the answering node runs or knows
	// to be committed, and Staged the highest that it holds or knows to be proposed.
	Committed Version
	Staged    Version
	// ZoneMembers is how many live members of the restarted node's zone, itself
	// left out, the answering node knows. A node that has just started knows
	// few itself, and must not take the first answer for a majority.
	ZoneMembers int
}

// FloorQuorum says whose answers are needed while the store cannot be read.
type FloorQuorum struct {
	// ZoneMembers is the number of other live members of the node's zone that
	// it knows itself.
	ZoneMembers int
	// OtherZones tells that there are live members in other zones, of which at
	// least one must answer.
	OtherZones bool
}

// FloorDecision is what the answers amount to.
type FloorDecision struct {
	Floor   Version
	Decided bool
	// Reason says what is missing while the floor is not decided.
	Reason string
}

// DecideFloor works out the lowest version that a restarted node may run. An
// answer confirmed by the store is enough. Without one it takes a majority of
// the zone, as the largest view among the answers has it, and one node of
// another zone, and none of them may hold a version that could have been
// committed without their knowledge.
func DecideFloor(quorum FloorQuorum, answers []FloorAnswer) FloorDecision {
	var committed, staged Version
	confirmed := false
	sameZone, elsewhere, zoneMembers := 0, 0, quorum.ZoneMembers
	for _, answer := range answers {
		if answer.Confirmed {
			confirmed = true
			committed = max(committed, answer.Committed)
			continue
		}
		if !answer.Known {
			continue
		}
		committed = max(committed, answer.Committed)
		staged = max(staged, answer.Staged)
		zoneMembers = max(zoneMembers, answer.ZoneMembers)
		if answer.SameZone {
			sameZone++
		} else {
			elsewhere++
		}
	}
	needed := zoneMembers/2 + 1
	switch {
	case confirmed:
		return FloorDecision{Floor: committed, Decided: true}
	case zoneMembers == 0 && !quorum.OtherZones:
		return undecided("neither the store nor another node can be asked")
	case zoneMembers > 0 && sameZone < needed:
		return undecided(fmt.Sprintf("the store cannot be read, and %d of the %d answers needed from the zone have come", sameZone, needed))
	case quorum.OtherZones && elsewhere == 0:
		return undecided("the store cannot be read, and no node of another zone has answered")
	case staged > committed:
		return undecided(fmt.Sprintf("the store cannot be read, and version %d may have been committed", staged))
	default:
		return FloorDecision{Floor: committed, Decided: true}
	}
}

func undecided(reason string) FloorDecision { return FloorDecision{Reason: reason} }
