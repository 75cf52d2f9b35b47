package versionstore

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/store"
)

// headChange is one replacement of the head.
type headChange struct {
	from headState
	to   rollout.Head
	// with lists the operations that take effect together with it.
	with []store.Operation
}

// swapResult says what became of a headChange.
type swapResult uint8

const (
	// swapUnknown: it may have taken effect, or may still do so.
	swapUnknown swapResult = iota
	// swapDone: it took effect.
	swapDone
	// swapRefused: it did not take effect and never will.
	swapRefused
	// swapSuperseded: the head has been replaced more than once since, so the
	// head alone does not tell. It may have taken effect.
	swapSuperseded
)

// swapOutcome is a result with the head that was read back for it, if one was.
type swapOutcome struct {
	result swapResult
	found  headState
}

func (v *VersionStore) headOperations(change headChange) ([]store.Operation, error) {
	value, err := encodeHead(change.to)
	if err != nil {
		return nil, err
	}
	operations := append([]store.Operation{}, change.with...)
	return append(operations, store.Operation{
		Verb:  store.VerbCompareAndSwap,
		Key:   v.headKey(),
		Value: value,
		Index: change.from.modifyIndex,
	}), nil
}

// swapHead replaces the head and, when the answer is lost, finds out whether
// that took effect.
func (v *VersionStore) swapHead(ctx context.Context, change headChange) (swapOutcome, error) {
	operations, err := v.headOperations(change)
	if err != nil {
		return swapOutcome{result: swapRefused}, err
	}
	err = v.store.Transact(ctx, operations)
	switch {
	case err == nil:
		v.guard.learn(change.to)
		return swapOutcome{result: swapDone}, nil
	case errorx.IsOfType(err, store.ErrConflict):
		return swapOutcome{result: swapRefused}, nil
	case errorx.IsOfType(err, store.ErrUnknownOutcome):
		return v.settle(ctx, change, operations)
	default:
		return swapOutcome{result: swapRefused}, err
	}
}

// settle reads the store back until it is known what became of a change whose
// answer was lost. While the head has not moved, the write may still be on its
// way. The same transaction is then sent again: both compare the same index,
// so that at most one of them takes effect, whichever comes first.
func (v *VersionStore) settle(ctx context.Context, change headChange, operations []store.Operation) (swapOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, v.config.SettleTimeout)
	defer cancel()
	refused := false
	for attempt := 0; ; attempt++ {
		// Only what this write became is asked here; a store that has gone back
		// is noticed by the next read.
		found, err := v.readUncheckedHead(ctx, store.ReadOptions{Consistent: true})
		switch {
		case err == nil && found.modifyIndex != change.from.modifyIndex:
			v.guard.learn(found.head)
			return swapOutcome{result: compareMoved(change, found), found: found}, nil
		case err == nil && refused:
			return swapOutcome{result: swapRefused}, nil
		case err == nil:
			err = v.store.Transact(ctx, operations)
			refused = errorx.IsOfType(err, store.ErrConflict)
			if err == nil {
				v.guard.learn(change.to)
				return swapOutcome{result: swapDone}, nil
			}
		}
		if !v.pause(ctx, attempt) {
			return swapOutcome{result: swapUnknown}, ErrUnknownOutcome.Wrap(err, "the answer to a write of the head was lost")
		}
	}
}

// compareMoved decides from a head that replaced the one a change started from.
func compareMoved(change headChange, found headState) swapResult {
	switch {
	case sameHead(found.head, change.to):
		return swapDone
	case found.head.Generation <= change.to.Generation:
		return swapRefused
	default:
		return swapSuperseded
	}
}

// pause waits with full jitter below a doubling bound; false tells that the
// context ended.
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
