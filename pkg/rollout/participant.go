package rollout

import (
	"github.com/levertide/levertide/pkg/snapshot"
)

// ParticipantOptions shapes a Participant.
type ParticipantOptions struct {
	// Node is the node's identifier, named in refusals.
	Node string
	// Validate says whether this node can run a snapshot. Nil accepts every one.
	Validate func(*snapshot.Snapshot) error
}

// Participant is the node's side of a rollout. It stages the proposed version,
// puts the committed one in force, and never returns to a lower version.
type Participant struct {
	options ParticipantOptions

	head      Head
	headKnown bool
	// highest holds the highest numbers of any head seen, ignored ones included.
	highest watermark

	floor      Version
	floorKnown bool

	inForce *snapshot.Snapshot
	// staged is the complete proposed snapshot, candidate the complete committed one
	// that waits for the floor to be known. Each is nil when there is none.
	staged    *snapshot.Snapshot
	candidate *snapshot.Snapshot
	// stagedApplyID is the apply that proposed the staged snapshot.
	stagedApplyID string

	// refused is the version that Validate refused last, with its reason.
	refused refusal
	// fetching holds the versions requested but neither delivered nor failed.
	fetching map[Version]struct{}

	alarms  []string
	actions []Action
}

// refusal is a version that the node cannot run.
type refusal struct {
	version Version
	applyID string
	reason  string
}

// NewParticipant returns a participant that knows neither head nor floor.
func NewParticipant(options ParticipantOptions) *Participant {
	return &Participant{options: options, fetching: make(map[Version]struct{})}
}

// LearnFloor sets the lowest version that the node may run after its start.
// Until it is called nothing is put in force. A floor lower than the one already
// known changes nothing.
func (p *Participant) LearnFloor(version Version) []Action {
	if p.floorKnown && version <= p.floor {
		return nil
	}
	p.floorKnown = true
	p.floor = max(p.floor, version)
	p.changed()
	p.advance()
	return p.takeActions()
}

// ObserveHead processes a head record. One that is older than the newest seen
// is ignored. One that reverts what was committed raises an alarm and is
// ignored too. A repeated head requests versions again whose fetch has failed.
func (p *Participant) ObserveHead(head Head) []Action {
	if !p.accepts(head) {
		return p.takeActions()
	}
	if !p.headKnown || head.Generation > p.head.Generation {
		p.head = head
		p.headKnown = true
		p.highest.raise(head)
		p.dropAborted()
		p.changed()
	}
	p.advance()
	return p.takeActions()
}

// accepts reports whether a head follows, or repeats, the one adopted last. It raises an
// alarm for a head that reverts or overwrites what was read before.
func (p *Participant) accepts(head Head) bool {
	if !p.headKnown {
		return true
	}
	if head.Generation < p.head.Generation {
		return false
	}
	if head.Generation == p.head.Generation {
		return p.acceptsRepeated(head)
	}
	if text, lower := p.highest.regression(head); lower {
		p.alarm(text)
		return false
	}
	return true
}

func (p *Participant) acceptsRepeated(head Head) bool {
	if head.sameRecord(p.head) {
		return true
	}
	p.alarm(overwrittenText(p.head, head))
	return false
}

// Deliver passes a complete fetched snapshot. One that is neither proposed nor
// committed is ignored. One that Validate refuses is never run.
func (p *Participant) Deliver(delivered *snapshot.Snapshot) []Action {
	version := delivered.Version()
	delete(p.fetching, version)
	if !p.needs(version) {
		return p.takeActions()
	}
	if err := p.validate(delivered); err != nil {
		p.refuse(version, err)
		return p.takeActions()
	}
	if version == p.head.Committed {
		p.candidate = delivered
	} else {
		p.staged = delivered
		p.stagedApplyID = p.head.ApplyID
	}
	p.changed()
	p.advance()
	return p.takeActions()
}

func (p *Participant) validate(delivered *snapshot.Snapshot) error {
	if p.options.Validate == nil {
		return nil
	}
	return p.options.Validate(delivered)
}

func (p *Participant) refuse(version Version, err error) {
	p.refused = refusal{version: version, applyID: p.head.ApplyID, reason: err.Error()}
	p.changed()
}

// FetchFailed reports that a requested version could not be fetched. It is requested
// again at the next ObserveHead, even of a repeated head.
func (p *Participant) FetchFailed(version Version) { delete(p.fetching, version) }

// needs reports whether the node lacks a version that the head names.
func (p *Participant) needs(version Version) bool {
	if !p.headKnown || version == 0 || version <= p.inForceVersion() {
		return false
	}
	if p.refused.version == version {
		return false
	}
	switch version {
	case p.head.Committed:
		return versionOf(p.candidate) != version && versionOf(p.staged) != version
	case p.head.Proposed:
		return versionOf(p.staged) != version
	default:
		return false
	}
}

// dropAborted discards snapshots, refusals and fetches of versions that the head no longer names.
func (p *Participant) dropAborted() {
	if p.staged != nil && !p.stagedStillNamed() {
		p.staged, p.stagedApplyID = nil, ""
	}
	if p.candidate != nil && p.candidate.Version() != p.head.Committed {
		p.candidate = nil
	}
	if !p.refusalStillNamed() {
		p.refused = refusal{}
	}
	for version := range p.fetching {
		if version != p.head.Committed && version != p.head.Proposed {
			delete(p.fetching, version)
		}
	}
}

// stagedStillNamed reports whether the staged snapshot is the one that the head
// proposes or has committed. The apply identifier distinguishes it from another
// snapshot with the same number, which a store restored from an older copy
// can assign.
func (p *Participant) stagedStillNamed() bool {
	version := p.staged.Version()
	return p.head.names(version, p.stagedApplyID)
}

func (p *Participant) refusalStillNamed() bool {
	return p.refused.version != 0 && p.head.names(p.refused.version, p.refused.applyID)
}

// advance puts the committed version in force if allowed, and requests missing versions.
func (p *Participant) advance() {
	if !p.headKnown {
		return
	}
	if p.staged != nil && p.staged.Version() == p.head.Committed {
		p.candidate, p.staged, p.stagedApplyID = p.staged, nil, ""
	}
	p.activate()
	p.fetch(p.head.Committed)
	p.fetch(p.head.Proposed)
}

// activate puts the committed snapshot in force if it is complete, not below the
// floor and higher than the version in force.
func (p *Participant) activate() {
	next := p.candidate
	if next == nil || !p.floorKnown || next.Version() < p.floor {
		return
	}
	p.candidate = nil
	if next.Version() <= p.inForceVersion() {
		return
	}
	p.inForce = next
	p.actions = append(p.actions, Activate{Snapshot: next})
	p.changed()
}

func (p *Participant) fetch(version Version) {
	if !p.needs(version) {
		return
	}
	if _, pending := p.fetching[version]; pending {
		return
	}
	p.fetching[version] = struct{}{}
	p.actions = append(p.actions, FetchVersion{Version: version})
}

// changed adds a StateChanged to the actions of the current call unless it has one.
func (p *Participant) changed() {
	for _, action := range p.actions {
		if _, already := action.(StateChanged); already {
			return
		}
	}
	p.actions = append(p.actions, StateChanged{})
}

func (p *Participant) takeActions() []Action {
	actions := p.actions
	p.actions = nil
	return actions
}

func (p *Participant) inForceVersion() Version { return versionOf(p.inForce) }

func versionOf(s *snapshot.Snapshot) Version {
	if s == nil {
		return 0
	}
	return s.Version()
}
