package versionstore

import (
	"context"
	"strings"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/store"
)

// decideAttempts bounds the attempts at a commit or abort when the head changes
// concurrently.
const decideAttempts = 3

// maxReasonBytes bounds the rejection reason stored in the head and in the version record.
const maxReasonBytes = 1 << 10

// Commit makes a proposed version the committed one. If it is
// already committed, the current head is returned. ErrConflict means that the
// version is not the one proposed under applyID.
func (v *VersionStore) Commit(ctx context.Context, version rollout.Version, applyID string) (rollout.Head, error) {
	return v.decide(ctx, version, ApplyCommitted, func(state headState) (headChange, bool, error) {
		if state.head.Committed == version {
			return headChange{}, true, nil
		}
		if state.head.Proposed != version || state.head.ApplyID != applyID {
			return headChange{}, false, notProposed(state.head, version)
		}
		next := state.head
		next.Generation++
		next.Committed = version
		next.Proposed = 0
		next.ChangedAt = v.config.Now()
		return headChange{from: state, to: next}, false, nil
	})
}

// Abort rejects a proposed version, whose number is never used again. If it was
// the last version to be aborted, the current head is returned. ErrConflict
// means that the version is not proposed any more.
func (v *VersionStore) Abort(ctx context.Context, version rollout.Version, rejection rollout.Rejection) (rollout.Head, error) {
	return v.decide(ctx, version, ApplyAborted, func(state headState) (headChange, bool, error) {
		last := state.head.LastRejected
		if last != nil && last.Version == version {
			return headChange{}, true, nil
		}
		if state.head.Proposed != version {
			return headChange{}, false, notProposed(state.head, version)
		}
		change, err := v.abortChange(ctx, state, rejection)
		return change, false, err
	})
}

func notProposed(head rollout.Head, version rollout.Version) error {
	return withHead(ErrConflict.New("version %d is not the proposed one; committed is %d, proposed %d",
		version, head.Committed, head.Proposed), head)
}

// decide commits or aborts a version: it reads the head, lets plan build the
// change and applies it. plan returns done when the head needs no change.
// intended is the phase of the version that the change leads to.
func (v *VersionStore) decide(
	ctx context.Context,
	version rollout.Version,
	intended ApplyPhase,
	plan func(headState) (change headChange, done bool, err error),
) (rollout.Head, error) {
	if version == 0 {
		return rollout.Head{}, ErrInvalidRequest.New("version 0 stands for no version and can be neither committed nor aborted")
	}
	state, err := v.readHead(ctx, store.ReadOptions{Consistent: true})
	for attempt := 0; err == nil && attempt < decideAttempts; attempt++ {
		change, done, planError := plan(state)
		if planError != nil || done {
			return state.head, planError
		}
		outcome, swapError := v.swapHead(ctx, change)
		if swapError != nil {
			return rollout.Head{}, swapError
		}
		switch outcome.result {
		case swapDone:
			return change.to, nil
		case swapSuperseded:
			return v.supersededDecision(ctx, version, intended, outcome.found.head)
		}
		state, err = v.readHead(ctx, store.ReadOptions{Consistent: true})
	}
	if err != nil {
		return rollout.Head{}, err
	}
	return rollout.Head{}, withHead(ErrConflict.New("the head changed during each attempt to commit or abort version %d", version), v.guard.newest())
}

// supersededDecision determines from the version's own record whether it was
// committed or aborted. The caller's write may have done that, so a failure to
// read leaves the outcome unknown.
func (v *VersionStore) supersededDecision(ctx context.Context, version rollout.Version, intended ApplyPhase, head rollout.Head) (rollout.Head, error) {
	record, err := v.ReadVersion(ctx, version)
	if err != nil {
		return rollout.Head{}, ErrUnknownOutcome.Wrap(err, "whether version %d was committed or aborted could not be read back", version)
	}
	if phaseOf(record, head) != intended {
		return head, notProposed(head, version)
	}
	return head, nil
}

// abortChange builds the change that rejects the proposed version, in the head
// and in the version's own record. If the record is missing or corrupt, only the
// head is changed, so that the version can still be aborted.
func (v *VersionStore) abortChange(ctx context.Context, state headState, rejection rollout.Rejection) (headChange, error) {
	now := v.config.Now()
	rejection.Version = state.head.Proposed
	rejection.ApplyID = state.head.ApplyID
	rejection.Reason = truncate(rejection.Reason, maxReasonBytes)
	if rejection.At.IsZero() {
		rejection.At = now
	}
	next := state.head
	next.Generation++
	next.Proposed = 0
	next.LastRejected = &rejection
	next.ChangedAt = now
	change := headChange{from: state, to: next}
	record, index, err := v.readVersion(ctx, rejection.Version)
	if errorx.IsOfType(err, ErrVersionNotFound) || errorx.IsOfType(err, ErrCorrupt) {
		return change, nil
	}
	if err != nil {
		return headChange{}, err
	}
	record.Rejection = &rejection
	value, err := encodeRecord(record)
	if err != nil {
		return headChange{}, err
	}
	change.additional = []store.Operation{{
		Verb:  store.VerbCompareAndSwap,
		Key:   v.versionKey(rejection.Version),
		Value: value,
		Index: index,
	}}
	return change, nil
}

func truncate(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	return strings.ToValidUTF8(text[:limit], "")
}
