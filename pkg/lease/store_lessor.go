package lease

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/store"
)

// DefaultTTL is the default time to live of a lease, the shortest that the platform accepts.
const DefaultTTL = 10 * time.Second

// Options configure a StoreLessor; zero fields other than Store take the defaults.
type Options struct {
	// Store is the platform's key-value service.
	Store store.Store
	// Name is the name of the sessions, for people who inspect the platform.
	Name string
	// TTL is how long a lease lasts without renewal.
	TTL time.Duration
	// Now returns the time; nil means time.Now, whose monotonic reading advances
	// while the process is stopped.
	Now func() time.Time
	// Panicked is called with a panic while a lease is renewed, which ends the lease; nil means that
	// nobody is told.
	Panicked contain.Report
}

// StoreLessor grants leases that are sessions of a store.Store.
type StoreLessor struct {
	options Options
}

var _ Lessor = (*StoreLessor)(nil)

// New returns a lessor.
func New(options Options) *StoreLessor {
	if options.TTL <= 0 {
		options.TTL = DefaultTTL
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &StoreLessor{options: options}
}

// Holder implements Lessor with one read.
func (l *StoreLessor) Holder(ctx context.Context, key string) (Holder, error) {
	record, _, err := l.options.Store.Get(ctx, key, store.ReadOptions{})
	if errorx.IsOfType(err, store.ErrNotFound) {
		return Holder{}, nil
	}
	if err != nil {
		return Holder{}, err
	}
	return Holder{Held: record.Session != "", Value: record.Value}, nil
}

// TryAcquire implements Lessor. It costs one read when the key is taken, and
// three requests when it is free.
func (l *StoreLessor) TryAcquire(ctx context.Context, key string, value []byte) (Lease, error) {
	holder, err := l.Holder(ctx, key)
	if err != nil {
		return nil, err
	}
	if holder.Held {
		return nil, ErrLeaseHeld.New("key %s is held by another process", key)
	}
	sent := l.options.Now()
	session, err := l.options.Store.CreateSession(ctx, l.options.Name, l.options.TTL)
	if err != nil {
		return nil, err
	}
	acquired, err := l.acquire(ctx, key, value, session)
	if err != nil || !acquired {
		// A session that cannot be ended now lapses by itself.
		_ = l.options.Store.DestroySession(ctx, session)
	}
	if err != nil {
		return nil, err
	}
	if !acquired {
		return nil, ErrLeaseHeld.New("key %s was acquired by another process", key)
	}
	return l.hold(key, session, sent), nil
}

// acquire acquires the key. When the answer is lost, it reads back which session holds the key.
func (l *StoreLessor) acquire(ctx context.Context, key string, value []byte, session string) (bool, error) {
	acquired, err := l.options.Store.Acquire(ctx, key, value, session)
	if !errorx.IsOfType(err, store.ErrUnknownOutcome) {
		return acquired, err
	}
	record, _, readError := l.options.Store.Get(ctx, key, store.ReadOptions{Consistent: true})
	if readError != nil {
		return false, err
	}
	return record.Session == session, nil
}
