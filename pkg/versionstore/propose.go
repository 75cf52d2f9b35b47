package versionstore

import (
	"context"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/store"
)

// proposeAttempts bounds the attempts at a proposal when a concurrent sweep of
// old versions makes it start over.
const proposeAttempts = 5

// ProposeRequest asks for a set of resources to become the next version.
type ProposeRequest struct {
	// ApplyID is unique to this apply. A request that is repeated with the same
	// identifier is not written twice.
	ApplyID  string
	Operator string
	// Base is the version that the resources were based on; it must still be
	// the committed one.
	Base      rollout.Version
	Resources []model.Resource
	// KnownHead is the newest head that the nodes hold. It is set only after the
	// platform's store was restored from an older copy. A store that is behind
	// KnownHead is then advanced past it instead of being refused, and a version
	// proposed in KnownHead or in the store is abandoned.
	KnownHead *rollout.Head
}

// ProposeResult is the result of a proposal.
type ProposeResult struct {
	// Version is the number assigned to the set of resources.
	Version rollout.Version
	// Head is the head that names the proposed version, or a later one.
	Head rollout.Head
}

// Propose writes the resources and names them in the head as the version to
// stage next. ErrConflict, ErrRolloutInProgress and errors for which
// store.NotWritten is true mean that nothing was proposed. After
// ErrUnknownOutcome, Resolve can determine the outcome.
func (v *VersionStore) Propose(ctx context.Context, request ProposeRequest) (ProposeResult, error) {
	if request.ApplyID == "" {
		return ProposeResult{}, ErrInvalidRequest.New("the apply has no identifier")
	}
	set, err := newContent(request.Resources, v.config)
	if err != nil {
		return ProposeResult{}, err
	}
	for range proposeAttempts {
		result, retry, err := v.proposeOnce(ctx, request, set)
		if !retry {
			return result, err
		}
	}
	return ProposeResult{}, withHead(ErrConflict.New("the store changed during each attempt"), v.guard.newest())
}

// proposeOnce makes one attempt; retry is true when another one may succeed.
func (v *VersionStore) proposeOnce(ctx context.Context, request ProposeRequest, set content) (result ProposeResult, retry bool, err error) {
	state, sweepIndex, err := v.readForProposal(ctx, request)
	if err != nil {
		return ProposeResult{}, false, err
	}
	if refusal := checkProposal(state.head, request); refusal != nil {
		result, err = v.resolveRefused(ctx, request, refusal)
		return result, false, err
	}
	change, err := v.proposalChange(state, sweepIndex, request, set)
	if err != nil {
		return ProposeResult{}, false, err
	}
	if err := v.writeResources(ctx, set, request.Base); err != nil {
		return ProposeResult{}, false, err
	}
	outcome, err := v.swapHead(ctx, change)
	if err != nil {
		return ProposeResult{}, false, err
	}
	switch outcome.result {
	case swapDone:
		return ProposeResult{Version: change.to.Proposed, Head: change.to}, false, nil
	case swapSuperseded:
		result, err = v.supersededProposal(ctx, request, change.to.Proposed)
		return result, false, err
	default:
		return ProposeResult{}, true, nil
	}
}

// readForProposal reads the head and the index of the sweep record in one request.
func (v *VersionStore) readForProposal(ctx context.Context, request ProposeRequest) (headState, uint64, error) {
	seenBefore := v.guard.newest()
	records, err := v.store.GetMany(ctx, []string{v.headKey(), v.sweepKey()}, true)
	if err != nil {
		return headState{}, 0, err
	}
	var state headState
	var sweepIndex uint64
	for _, record := range records {
		if record.Key == v.sweepKey() {
			sweepIndex = record.ModifyIndex
			continue
		}
		head, err := decodeHead(record.Value)
		if err != nil {
			return headState{}, 0, err
		}
		state = headState{head: head, modifyIndex: record.ModifyIndex}
	}
	if known := request.KnownHead; known != nil && Regressed(state.head, *known) {
		err := v.checkKnownHead(*known, state.head, seenBefore)
		state.head = advancedPast(state.head, *known)
		return state, sweepIndex, err
	}
	return state, sweepIndex, v.guard.check(state.head, seenBefore)
}

// checkKnownHead refuses a known head that is older than one seen before. If the
// newest head seen is the one still in the store, it is no evidence against the
// known head, because it belongs to the history that the store is advanced past.
func (v *VersionStore) checkKnownHead(known, found, seenBefore rollout.Head) error {
	if sameHead(found, seenBefore) {
		return nil
	}
	return v.guard.check(known, seenBefore)
}

// advancedPast returns the head to build on when the store has regressed: the
// one known to the nodes, with the higher generation and version number of both
// histories, so that the next ones are unused in either.
func advancedPast(found, known rollout.Head) rollout.Head {
	next := known
	next.Generation = max(found.Generation, known.Generation)
	next.HighestUsed = max(found.HighestUsed, known.HighestUsed)
	next.Proposed = 0
	return next
}

func checkProposal(head rollout.Head, request ProposeRequest) error {
	switch {
	case head.ApplyID == request.ApplyID:
		return withHead(ErrConflict.New("apply %s was written before", request.ApplyID), head)
	case head.Committed != request.Base:
		return withHead(ErrConflict.New("the files are based on version %d, but version %d is committed", request.Base, head.Committed), head)
	case head.Proposed != 0:
		return withHead(ErrRolloutInProgress.New("version %d is being rolled out", head.Proposed), head)
	default:
		return nil
	}
}

// resolveRefused handles a refused proposal. If an earlier attempt of the same
// apply took effect, it returns that attempt's result, otherwise the refusal.
func (v *VersionStore) resolveRefused(ctx context.Context, request ProposeRequest, refusal error) (ProposeResult, error) {
	state, err := v.Resolve(ctx, request.ApplyID)
	if err != nil {
		return ProposeResult{}, err
	}
	if state.Phase == ApplyNotWritten {
		return ProposeResult{}, refusal
	}
	return ProposeResult{Version: state.Version, Head: state.Head}, nil
}

// proposalChange builds the change that proposes the next version, or returns
// ErrTooLarge when the version record exceeds the size limit of the store.
func (v *VersionStore) proposalChange(state headState, sweepIndex uint64, request ProposeRequest, set content) (headChange, error) {
	now := v.config.Now()
	next := state.head
	next.Generation++
	next.HighestUsed++
	next.Proposed = next.HighestUsed
	next.ApplyID = request.ApplyID
	next.ChangedAt = now
	value, err := encodeRecord(VersionRecord{
		Number:    next.Proposed,
		ApplyID:   request.ApplyID,
		Operator:  request.Operator,
		CreatedAt: now,
		Base:      request.Base,
		Resources: set.references,
		Snapshot:  set.digest,
	})
	if err != nil {
		return headChange{}, err
	}
	if len(value) > store.MaxValueBytes {
		return headChange{}, ErrTooLarge.New("the record of %d resources takes %d bytes, the limit is %d",
			len(set.references), len(value), store.MaxValueBytes)
	}
	return headChange{from: state, to: next, additional: []store.Operation{
		{Verb: store.VerbCheckIndex, Key: v.sweepKey(), Index: sweepIndex},
		{Verb: store.VerbCompareAndSwap, Key: v.versionKey(next.Proposed), Value: value},
	}}, nil
}

// writeResources writes the resources that the base version does not reference.
// They are content-addressed, so that writing them repeatedly is harmless.
func (v *VersionStore) writeResources(ctx context.Context, set content, base rollout.Version) error {
	known, err := v.baseReferences(ctx, base)
	if err != nil {
		return err
	}
	for _, batch := range v.missingWrites(set, known) {
		if err := v.writeIdempotent(ctx, batch); err != nil {
			return err
		}
	}
	return nil
}

func (v *VersionStore) baseReferences(ctx context.Context, base rollout.Version) ([]ResourceReference, error) {
	if base == 0 {
		return nil, nil
	}
	record, err := v.ReadVersion(ctx, base)
	if errorx.IsOfType(err, ErrVersionNotFound) || errorx.IsOfType(err, ErrCorrupt) {
		return nil, nil
	}
	return record.Resources, err
}

// writeIdempotent sends idempotent operations, repeatedly until a response arrives
// or SettleTimeout has passed.
func (v *VersionStore) writeIdempotent(ctx context.Context, operations []store.Operation) error {
	ctx, cancel := context.WithTimeout(ctx, v.config.SettleTimeout)
	defer cancel()
	for attempt := 0; ; attempt++ {
		err := v.store.Transact(ctx, operations)
		if !errorx.IsOfType(err, store.ErrUnknownOutcome) {
			return err
		}
		if !v.pause(ctx, attempt) {
			return store.ErrUnreachable.Wrap(err, "the resources could not be written; no version references them")
		}
	}
}

// supersededProposal determines from the version record which apply the number
// was assigned to.
func (v *VersionStore) supersededProposal(ctx context.Context, request ProposeRequest, version rollout.Version) (ProposeResult, error) {
	record, err := v.ReadVersion(ctx, version)
	if err != nil {
		return ProposeResult{}, ErrUnknownOutcome.Wrap(err, "version %d could not be read back", version)
	}
	head := v.guard.newest()
	if record.ApplyID != request.ApplyID {
		return ProposeResult{}, withHead(ErrConflict.New("version %d belongs to another apply", version), head)
	}
	return ProposeResult{Version: version, Head: head}, nil
}
