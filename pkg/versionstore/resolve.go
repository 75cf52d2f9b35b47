package versionstore

import (
	"context"
	"slices"

	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/store"
)

// ApplyPhase is the progress of an apply.
type ApplyPhase uint8

// The phases of an apply.
const (
	// ApplyNotWritten: no version in the store belongs to the apply. A request
	// still in flight may change that.
	ApplyNotWritten ApplyPhase = iota
	// ApplyProposed: its version is being staged.
	ApplyProposed
	// ApplyCommitted: its version is committed, or was committed and then replaced by a later one.
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

// ApplyState is the state of one apply.
type ApplyState struct {
	Phase ApplyPhase
	// Version is the number assigned to the apply; zero when it was not written.
	Version rollout.Version
	// Rejection says why it was aborted, if it was.
	Rejection *rollout.Rejection
	// Head is the head from which the state was determined.
	Head rollout.Head
	// Oldest is the lowest version of the unbroken range that was searched. An
	// apply based on a version lower than Oldest-1 may have been written and
	// removed since.
	Oldest rollout.Version
}

// Resolve returns the state of an apply. It only reads the store.
func (v *VersionStore) Resolve(ctx context.Context, applyID string) (ApplyState, error) {
	state, err := v.readHead(ctx, store.ReadOptions{Consistent: true})
	if err != nil {
		return ApplyState{}, err
	}
	if state.head.ApplyID == applyID {
		return stateFromHead(state.head, applyID), nil
	}
	records, err := v.ListVersions(ctx, -1)
	if err != nil {
		return ApplyState{}, err
	}
	result := ApplyState{Head: state.head, Oldest: oldestContiguous(records)}
	index := slices.IndexFunc(records, func(record VersionRecord) bool { return record.ApplyID == applyID })
	if index < 0 {
		return result, nil
	}
	record := records[index]
	result.Version, result.Rejection = record.Number, record.Rejection
	result.Phase = phaseOf(record, state.head)
	return result, nil
}

// oldestContiguous returns the lowest number of the unbroken range that ends at
// the newest version. records is ordered newest first; the committed version
// may be kept below a gap.
func oldestContiguous(records []VersionRecord) rollout.Version {
	var lowest rollout.Version
	for index, record := range records {
		if index > 0 && record.Number+1 != lowest {
			break
		}
		lowest = record.Number
	}
	return lowest
}

// stateFromHead returns the state of the apply that made or last changed the head's newest version.
func stateFromHead(head rollout.Head, applyID string) ApplyState {
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

// phaseOf returns the phase of a version from its record and the head. A version
// above head.HighestUsed was proposed after that head was read.
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
