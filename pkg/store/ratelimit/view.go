package ratelimit

import (
	"context"
	"time"

	"github.com/levertide/levertide/pkg/store"
)

// View is the rate-limited store at one priority.
type View struct {
	limiter *Limiter
	admit   func(context.Context) error
}

var _ store.Store = (*View)(nil)

// Limiter returns the limiter that the view belongs to.
func (v *View) Limiter() *Limiter { return v.limiter }

func (v *View) do(ctx context.Context, send func() error) error {
	return v.limiter.do(ctx, v.admit, send)
}

// Get implements store.Store.
func (v *View) Get(ctx context.Context, key string, options store.ReadOptions) (record store.Record, index uint64, err error) {
	err = v.do(ctx, func() error {
		record, index, err = v.limiter.store.Get(ctx, key, options)
		return err
	})
	return record, index, err
}

// GetMany implements store.Store.
func (v *View) GetMany(ctx context.Context, keys []string, consistent bool) (records []store.Record, err error) {
	err = v.do(ctx, func() error {
		records, err = v.limiter.store.GetMany(ctx, keys, consistent)
		return err
	})
	return records, err
}

// List implements store.Store.
func (v *View) List(ctx context.Context, prefix string) (records []store.Record, err error) {
	err = v.do(ctx, func() error {
		records, err = v.limiter.store.List(ctx, prefix)
		return err
	})
	return records, err
}

// ListKeys implements store.Store.
func (v *View) ListKeys(ctx context.Context, prefix string) (keys []string, err error) {
	err = v.do(ctx, func() error {
		keys, err = v.limiter.store.ListKeys(ctx, prefix)
		return err
	})
	return keys, err
}

// Transact implements store.Store.
func (v *View) Transact(ctx context.Context, operations []store.Operation) error {
	return v.do(ctx, func() error { return v.limiter.store.Transact(ctx, operations) })
}

// CreateSession implements store.Store.
func (v *View) CreateSession(ctx context.Context, name string, ttl time.Duration) (session string, err error) {
	err = v.do(ctx, func() error {
		session, err = v.limiter.store.CreateSession(ctx, name, ttl)
		return err
	})
	return session, err
}

// RenewSession implements store.Store.
func (v *View) RenewSession(ctx context.Context, session string) error {
	return v.do(ctx, func() error { return v.limiter.store.RenewSession(ctx, session) })
}

// DestroySession implements store.Store.
func (v *View) DestroySession(ctx context.Context, session string) error {
	return v.do(ctx, func() error { return v.limiter.store.DestroySession(ctx, session) })
}

// Acquire implements store.Store.
func (v *View) Acquire(ctx context.Context, key string, value []byte, session string) (acquired bool, err error) {
	err = v.do(ctx, func() error {
		acquired, err = v.limiter.store.Acquire(ctx, key, value, session)
		return err
	})
	return acquired, err
}

// Release implements store.Store.
func (v *View) Release(ctx context.Context, key string, session string) error {
	return v.do(ctx, func() error { return v.limiter.store.Release(ctx, key, session) })
}
