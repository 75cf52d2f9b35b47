package versionstore

import (
	"context"
	"strings"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/store"
)

// decideAttempts bounds how often a decision starts over after the head moved.
const decideAttempts = 3

// maxReasonBytes bounds the reason kept in the head and in the version record.
const maxReasonBytes = 1 << 10

// Commit makes a proposed version the committed one. Committing what is
// committed already returns the head as it is. ErrConflict tells that the
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

// Abort gives up a proposed version, whose number is never used again.
// Aborting what is aborted already returns the head as it is. ErrConflict
// tells that the version is not proposed any more.
func (v *VersionStore) Abort(ctx context.Context, version rollout.Version, rejection rollout.Rejection) (rollout.Head, error) {
	return v.decide(ctx, version, ApplyAborted, func(state headState) (headChange, bool, error) {
		last := state.head.LastRejected
		if last != nil && last.Version == version {
			return headChange{}, true, nil
		}
		if state.head.Proposed != version {
			return headChange{}, false, notProposed(state.head, version)
		}
		change, err := v.abortion(ctx, state, rejection)
		return change, false, err
	})
}

func notProposed(head rollout.Head, version rollout.Version) error {
	return withHead(ErrConflict.New("version %d is not the proposed one; committed is %d, proposed %d",
		version, head.Committed, head.Proposed), head)
}

// decide reads the head, lets plan build the change and carries it out. plan
// reports done when the head needs no change.
func (v *VersionStore) decide(
	ctx context.Context,
	version rollout.Version,
	wanted ApplyPhase,
	plan func(headState) (change headChange, done bool, err error),
) (rollout.Head, error) {
	if version == 0 {
		return rollout.Head{}, ErrInvalidRequest.New("version zero stands for none and cannot be decided")
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
			return v.supersededDecision(ctx, version, wanted, outcome.found.head)
		}
		state, err = v.readHead(ctx, store.ReadOptions{Consistent: true})
	}
	if err != nil {
		return rollout.Head{}, err
	}
	return rollout.Head{}, withHead(ErrConflict.New("the head moved while version %d was decided", version), v.guard.newest())
}

// supersededDecision tells, from the version's own record, how it was decided.
// The caller's write may be what decided it, so that a failure to read leaves
// the outcome unknown.
func (v *VersionStore) supersededDecision(ctx context.Context, version rollout.Version, wanted ApplyPhase, head rollout.Head) (rollout.Head, error) {
	record, err := v.ReadVersion(ctx, version)
	if err != nil {
		return rollout.Head{}, ErrUnknownOutcome.Wrap(err, "how version %d was decided could not be read back", version)
	}
	if phaseOf(record, head) != wanted {
		return head, notProposed(head, version)
	}
	return head, nil
}

// abortion builds the change that rejects the proposed version, in the head
// and in the version's own record. A record that cannot be read does not keep
// the version from being aborted.
func (v *VersionStore) abortion(ctx context.Context, state headState, rejection rollout.Rejection) (headChange, error) {
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
	change.with = []store.Operation{{
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
