package versionstore

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/store"
)

// headState is the head with the store indexes needed to replace it and to wait on it.
type headState struct {
	head rollout.Head
	// modifyIndex is compared when the head is replaced; zero when the store holds no head.
	modifyIndex uint64
	// waitIndex is the index that a blocking read waits to be passed.
	waitIndex uint64
}

// ReadHead returns the head and the index to pass to WatchHead. The head of an
// empty store is the zero Head. With consistent set the answer reflects every
// write completed before the call.
func (v *VersionStore) ReadHead(ctx context.Context, consistent bool) (rollout.Head, uint64, error) {
	state, err := v.readHead(ctx, store.ReadOptions{Consistent: consistent})
	return state.head, state.waitIndex, err
}

// WatchHead returns as soon as the head's index has passed index, or after
// wait, with the current head and the next index to wait on. The index may
// decrease after the platform's store is restored from a backup.
func (v *VersionStore) WatchHead(ctx context.Context, index uint64, wait time.Duration) (rollout.Head, uint64, error) {
	state, err := v.readHead(ctx, store.ReadOptions{WaitIndex: index, Wait: wait})
	return state.head, state.waitIndex, err
}

// ObserveHead records a head learned from elsewhere, such as another node, so
// that a store that is behind it is reported as regressed.
func (v *VersionStore) ObserveHead(head rollout.Head) { v.guard.observe(head) }

// NewestHead returns the newest head read or observed so far; it does not read the store.
func (v *VersionStore) NewestHead() rollout.Head { return v.guard.newest() }

// readHead reads the head and checks it for regression. An older head may come
// from a lagging store server, so a regression is only reported after a consistent read.
func (v *VersionStore) readHead(ctx context.Context, options store.ReadOptions) (headState, error) {
	state, err := v.readCheckedHead(ctx, options)
	if errorx.IsOfType(err, ErrStoreRegressed) && !options.Consistent {
		return v.readCheckedHead(ctx, store.ReadOptions{Consistent: true})
	}
	return state, err
}

func (v *VersionStore) readCheckedHead(ctx context.Context, options store.ReadOptions) (headState, error) {
	seenBefore := v.guard.newest()
	state, err := v.readUncheckedHead(ctx, options)
	if err != nil {
		return headState{}, err
	}
	if err := v.guard.check(state.head, seenBefore); err != nil {
		return headState{}, err
	}
	return state, nil
}

func (v *VersionStore) readUncheckedHead(ctx context.Context, options store.ReadOptions) (headState, error) {
	record, index, err := v.store.Get(ctx, v.headKey(), options)
	if errorx.IsOfType(err, store.ErrNotFound) {
		return headState{waitIndex: index}, nil
	}
	if err != nil {
		return headState{}, err
	}
	head, err := decodeHead(record.Value)
	if err != nil {
		return headState{}, err
	}
	return headState{head: head, modifyIndex: record.ModifyIndex, waitIndex: index}, nil
}
