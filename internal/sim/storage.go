package sim

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/store"
	"github.com/levertide/levertide/pkg/store/memory"
	"github.com/levertide/levertide/pkg/store/ratelimit"
	"github.com/levertide/levertide/pkg/versionstore"
)

// gatedStore is the store as one process sees it: each request suspends the
// running operation, and the scheduler decides when it is carried out.
type gatedStore struct{ world *World }

var _ store.Store = gatedStore{}

// wait suspends the running operation until its request is to be carried out.
func (g gatedStore) wait(request memory.Request) *operation {
	op := g.world.running
	if op.ctx.Err() != nil {
		op.fault = memory.FaultRefuse
		return op
	}
	if !op.yield(request) {
		panic(operationStopped{})
	}
	g.world.running = op
	return op
}

// Get implements store.Store.
func (g gatedStore) Get(ctx context.Context, key string, options store.ReadOptions) (store.Record, uint64, error) {
	g.wait(memory.Request{Kind: memory.RequestGet, Keys: []string{key}})
	return g.world.memory.Get(ctx, key, options)
}

// GetMany implements store.Store.
func (g gatedStore) GetMany(ctx context.Context, keys []string, consistent bool) ([]store.Record, error) {
	g.wait(memory.Request{Kind: memory.RequestGetMany, Keys: keys})
	return g.world.memory.GetMany(ctx, keys, consistent)
}

// List implements store.Store.
func (g gatedStore) List(ctx context.Context, prefix string) ([]store.Record, error) {
	g.wait(memory.Request{Kind: memory.RequestList, Keys: []string{prefix}})
	return g.world.memory.List(ctx, prefix)
}

// ListKeys implements store.Store.
func (g gatedStore) ListKeys(ctx context.Context, prefix string) ([]string, error) {
	g.wait(memory.Request{Kind: memory.RequestListKeys, Keys: []string{prefix}})
	return g.world.memory.ListKeys(ctx, prefix)
}

// Transact implements store.Store.
func (g gatedStore) Transact(ctx context.Context, operations []store.Operation) error {
	op := g.wait(memory.Request{Kind: memory.RequestTransact, Operations: operations})
	if rewrite := g.world.options.Seams.Operations; rewrite != nil {
		operations = rewrite(op.name, operations)
	}
	err := g.world.memory.Transact(ctx, operations)
	op.settling = errorx.IsOfType(err, store.ErrConflict)
	g.world.oracle.observeStore()
	return err
}

// CreateSession implements store.Store.
func (g gatedStore) CreateSession(ctx context.Context, name string, ttl time.Duration) (string, error) {
	g.wait(memory.Request{Kind: memory.RequestCreateSession})
	return g.world.memory.CreateSession(ctx, name, ttl)
}

// RenewSession implements store.Store.
func (g gatedStore) RenewSession(ctx context.Context, session string) error {
	g.wait(memory.Request{Kind: memory.RequestRenewSession, Session: session})
	return g.world.memory.RenewSession(ctx, session)
}

// DestroySession implements store.Store.
func (g gatedStore) DestroySession(ctx context.Context, session string) error {
	g.wait(memory.Request{Kind: memory.RequestDestroySession, Session: session})
	return g.world.memory.DestroySession(ctx, session)
}

// Acquire implements store.Store.
func (g gatedStore) Acquire(ctx context.Context, key string, value []byte, session string) (bool, error) {
	g.wait(memory.Request{Kind: memory.RequestAcquire, Keys: []string{key}, Session: session})
	return g.world.memory.Acquire(ctx, key, value, session)
}

// Release implements store.Store.
func (g gatedStore) Release(ctx context.Context, key, session string) error {
	g.wait(memory.Request{Kind: memory.RequestRelease, Keys: []string{key}, Session: session})
	return g.world.memory.Release(ctx, key, session)
}

// newVersionStore returns the real version store on top of the simulated store. Its
// pauses are the shortest possible, since they would pass in real time.
func (w *World) newVersionStore() *versionstore.VersionStore {
	const unlimited = 1 << 30
	return versionstore.New(versionstore.Config{
		Store: gatedStore{w},
		Rate: ratelimit.Options{
			RequestsPerSecond: unlimited, Burst: unlimited, RateLimitRetries: 2,
			MinimumPause: 1, MaximumPause: 1,
		},
		SettleTimeout: time.Hour,
		MinimumPause:  1,
		MaximumPause:  1,
		Now:           w.wallClock,
	})
}
