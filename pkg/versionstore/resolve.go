package versionstore

import (
	"context"
	"slices"

	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/store"
)

// ApplyPhase says how far an apply has come.
type ApplyPhase uint8

// The phases of an apply.
const (
	// ApplyNotWritten: no version that the store keeps belongs to the apply. A
	// request that is still under way may change that.
	ApplyNotWritten ApplyPhase = iota
	// ApplyProposed: its version is being staged.
	ApplyProposed
	// ApplyCommitted: its version is committed or was followed by a later one.
	ApplyCommitted
	// ApplyAborted: its version was rejected and no node ran any of it.
	ApplyAborted
)

// String returns the phase in lower case.
func (p ApplyPhase) String() string {
	switch p {
	case ApplyNotWritten:
		return "not-written"
	case ApplyProposed:
		return "proposed"
	case ApplyCommitted:
		return "committed"
	case ApplyAborted:
		return "aborted"
	default:
		return "invalid"
	}
}

// ApplyState is what became of one apply.
type ApplyState struct {
	Phase ApplyPhase
	// Version is the number given to it; zero when it was not written.
	Version rollout.Version
	// Rejection says why it was aborted, if it was.
	Rejection *rollout.Rejection
	// Head is the head on which the answer rests.
	Head rollout.Head
	// Oldest is the version down to which every one was looked at. An apply
	// that was based on a version lower than Oldest-1 may have been written and
	// removed since.
	Oldest rollout.Version
}

// Resolve tells what became of an apply by reading; it writes nothing.
func (v *VersionStore) Resolve(ctx context.Context, applyID string) (ApplyState, error) {
	state, err := v.readHead(ctx, store.ReadOptions{Consistent: true})
	if err != nil {
		return ApplyState{}, err
	}
	if state.head.ApplyID == applyID {
		return stateInHead(state.head, applyID), nil
	}
	records, err := v.ListVersions(ctx, -1)
	if err != nil {
		return ApplyState{}, err
	}
	result := ApplyState{Head: state.head, Oldest: unbrokenFrom(records)}
	place := slices.IndexFunc(records, func(record VersionRecord) bool { return record.ApplyID == applyID })
	if place < 0 {
		return result, nil
	}
	record := records[place]
	result.Version, result.Rejection = record.Number, record.Rejection
	result.Phase = phaseOf(record, state.head)
	return result, nil
}

// unbrokenFrom returns the lowest number of the run without gaps that begins
// with the newest version; a committed version may be kept below a gap.
func unbrokenFrom(records []VersionRecord) rollout.Version {
	var lowest rollout.Version
	for place, record := range records {
		if place > 0 && record.Number+1 != lowest {
			break
		}
		lowest = record.Number
	}
	return lowest
}

// stateInHead reads the state of the apply that the head's last change belongs to.
func stateInHead(head rollout.Head, applyID string) ApplyState {
	result := ApplyState{Head: head, Version: head.HighestUsed, Oldest: head.HighestUsed}
	last := head.LastRejected
	switch {
	case head.Proposed != 0:
		result.Phase = ApplyProposed
	case last != nil && last.Version == head.HighestUsed && last.ApplyID == applyID:
		result.Phase, result.Rejection = ApplyAborted, last
	default:
		result.Phase = ApplyCommitted
	}
	return result
}

// phaseOf reads the phase of a version that an apply wrote earlier. A version
// above the head it is compared with was proposed after that head was read.
func phaseOf(record VersionRecord, head rollout.Head) ApplyPhase {
	switch {
	case record.Rejection != nil:
		return ApplyAborted
	case record.Number == head.Proposed || record.Number > head.HighestUsed:
		return ApplyProposed
	default:
		return ApplyCommitted
	}
}
