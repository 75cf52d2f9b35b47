package rollout

import (
	"fmt"
	"slices"

	"github.com/levertide/levertide/pkg/snapshot"
)

// MaxAlarms bounds the number of alarms that a participant keeps.
const MaxAlarms = 16

// ParticipantState is the state of a participant at one moment.
type ParticipantState struct {
	// Head is the newest head accepted; it is zero until HeadKnown.
	Head      Head
	HeadKnown bool
	// Floor is the lowest version that may be run; it is valid only if FloorKnown is set.
	Floor      Version
	FloorKnown bool
	// InForce is the snapshot that the node runs, Staged the one held beside it; each is
	// nil when there is none.
	InForce *snapshot.Snapshot
	Staged  *snapshot.Snapshot
	// Refusal says why the node cannot run the proposed or the committed
	// version; nil when it can.
	Refusal *NodeReason
	// RefusedVersion is the version that Refusal is about.
	RefusedVersion Version
	// Ready is set if the node may take calls; Reason says why it may not.
	Ready  bool
	Reason string
	// Alarms lists what needs an operator's attention, each text once.
	Alarms []string
}

// State returns the present state of the participant.
func (p *Participant) State() ParticipantState {
	state := ParticipantState{
		Head: p.head, HeadKnown: p.headKnown,
		Floor: p.floor, FloorKnown: p.floorKnown,
		InForce: p.inForce, Staged: p.staged,
		RefusedVersion: p.refused.version,
		Reason:         p.unreadyReason(),
		Alarms:         slices.Clone(p.alarms),
	}
	if p.refused.version != 0 {
		state.Refusal = &NodeReason{Node: p.options.Node, Reason: p.refused.reason}
	}
	state.Ready = state.Reason == ""
	return state
}

// unreadyReason returns why the node may not take calls; empty when it may.
func (p *Participant) unreadyReason() string {
	switch {
	case !p.floorKnown:
		return "the lowest version that may be run is not known yet"
	case p.refused.version != 0 && p.refused.version == p.head.Committed:
		return fmt.Sprintf("version %d is committed but was refused here: %s", p.refused.version, p.refused.reason)
	case p.inForce != nil:
		return ""
	case !p.headKnown:
		return "no head record has been received yet"
	case p.head.Committed < p.floor:
		return fmt.Sprintf("version %d must be run at least, but only %d is known to be committed", p.floor, p.head.Committed)
	case p.head.Committed == 0:
		return "no configuration has been committed"
	default:
		return fmt.Sprintf("version %d is being fetched", p.head.Committed)
	}
}

func (p *Participant) alarm(text string) {
	if slices.Contains(p.alarms, text) {
		return
	}
	if len(p.alarms) == MaxAlarms {
		p.alarms = slices.Delete(p.alarms, 0, 1)
	}
	p.alarms = append(p.alarms, text)
	p.actions = append(p.actions, RaiseAlarm{Text: text})
	p.changed()
}

// Readiness returns the summary of this one node, to be merged with those of
// its children.
func (s ParticipantState) Readiness(node string, incarnation uint64) Readiness {
	own := SumOf(node, incarnation)
	summary := Readiness{Proposed: s.Head.Proposed, Committed: s.Head.Committed}
	s.addProposed(&summary, own)
	s.addCommitted(&summary, own, node)
	return summary
}

func (s ParticipantState) addProposed(summary *Readiness, own MemberSum) {
	proposed := s.Head.Proposed
	switch {
	case proposed == 0:
	case s.Refusal != nil && s.RefusedVersion == proposed:
		summary.Refused = []NodeReason{*s.Refusal}
	case versionOf(s.Staged) == proposed:
		summary.Ready = own
	}
}

func (s ParticipantState) addCommitted(summary *Readiness, own MemberSum, node string) {
	committed := s.Head.Committed
	switch {
	case committed == 0:
	case versionOf(s.InForce) == committed:
		summary.InForce = own
	default:
		summary.Lagging = []NodeReason{{Node: node, Reason: s.laggingReason()}}
	}
}

func (s ParticipantState) laggingReason() string {
	if s.Reason != "" {
		return s.Reason
	}
	return fmt.Sprintf("runs version %d", versionOf(s.InForce))
}
