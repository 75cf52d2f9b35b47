package versionstore

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/store"
)

// headChange is one replacement of the head by compare-and-swap.
type headChange struct {
	from headState
	to   rollout.Head
	// additional lists further operations of the same transaction.
	additional []store.Operation
}

// swapResult is the result of a headChange.
type swapResult uint8

const (
	// swapUnknown: the change may have taken effect, or may still do so.
	swapUnknown swapResult = iota
	// swapDone: the change took effect.
	swapDone
	// swapRefused: the change did not take effect and never will.
	swapRefused
	// swapSuperseded: the head has been replaced more than once since, so that
	// it no longer shows whether the change took effect. It may have.
	swapSuperseded
)

// swapOutcome is a result with the head that was read back to determine it, if any.
type swapOutcome struct {
	result swapResult
	found  headState
}

func (v *VersionStore) headOperations(change headChange) ([]store.Operation, error) {
	value, err := encodeHead(change.to)
	if err != nil {
		return nil, err
	}
	operations := append([]store.Operation{}, change.additional...)
	return append(operations, store.Operation{
		Verb:  store.VerbCompareAndSwap,
		Key:   v.headKey(),
		Value: value,
		Index: change.from.modifyIndex,
	}), nil
}

// swapHead replaces the head. When the response is lost, it reads the store back
// to determine whether the change took effect.
func (v *VersionStore) swapHead(ctx context.Context, change headChange) (swapOutcome, error) {
	operations, err := v.headOperations(change)
	if err != nil {
		return swapOutcome{result: swapRefused}, err
	}
	err = v.store.Transact(ctx, operations)
	switch {
	case err == nil:
		v.guard.observe(change.to)
		return swapOutcome{result: swapDone}, nil
	case errorx.IsOfType(err, store.ErrConflict):
		return swapOutcome{result: swapRefused}, nil
	case errorx.IsOfType(err, store.ErrUnknownOutcome):
		return v.settle(ctx, change, operations)
	default:
		return swapOutcome{result: swapRefused}, err
	}
}

// settle determines whether a change whose response was lost took effect, by
// reading the store back. While the head is unchanged, the write may still be in
// flight. The same transaction is then sent again: both compare the same index,
// so that at most one of them takes effect, whichever arrives first.
func (v *VersionStore) settle(ctx context.Context, change headChange, operations []store.Operation) (swapOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, v.config.SettleTimeout)
	defer cancel()
	refused := false
	for attempt := 0; ; attempt++ {
		// The head is not checked for regression here, where only the outcome of
		// this write matters; the next checked read detects a regressed store.
		found, err := v.readUncheckedHead(ctx, store.ReadOptions{Consistent: true})
		switch {
		case err == nil && found.modifyIndex != change.from.modifyIndex:
			v.guard.observe(found.head)
			return swapOutcome{result: classifyMovedHead(change, found), found: found}, nil
		case err == nil && refused:
			return swapOutcome{result: swapRefused}, nil
		case err == nil:
			err = v.store.Transact(ctx, operations)
			refused = errorx.IsOfType(err, store.ErrConflict)
			if err == nil {
				v.guard.observe(change.to)
				return swapOutcome{result: swapDone}, nil
			}
		}
		if !v.pause(ctx, attempt) {
			return swapOutcome{result: swapUnknown}, ErrUnknownOutcome.Wrap(err, "the answer to a write of the head was lost")
		}
	}
}

// classifyMovedHead determines the result of a change from a head that has
// replaced the one the change started from.
func classifyMovedHead(change headChange, found headState) swapResult {
	switch {
	case sameHead(found.head, change.to):
		return swapDone
	case found.head.Generation <= change.to.Generation:
		return swapRefused
	default:
		return swapSuperseded
	}
}

// pause waits for a random time (full jitter) below a bound that doubles with
// each attempt. It returns false when the context ended.
func (v *VersionStore) pause(ctx context.Context, attempt int) bool {
	bound := v.config.MaximumPause
	if shifted := v.config.MinimumPause << attempt; shifted > 0 && shifted < bound {
		bound = shifted
	}
	timer := time.NewTimer(rand.N(bound))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
