package lease

import (
	"context"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("levertide.lease").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// The types of error of this package. Errors of the store itself, such as
// store.ErrUnreachable, are returned with their type.
var (
	// ErrLeaseHeld means that another process holds the key, or that the store
	// does not grant it for a while after its holder's session lapsed.
	ErrLeaseHeld = namespace.NewType("lease_held", errorx.Temporary())
	// ErrLeaseLost means that a lease ended before it was released.
	ErrLeaseLost = namespace.NewType("lease_lost")
)

// Lessor grants leases. It may be used by several goroutines.
type Lessor interface {
	// TryAcquire makes one attempt to become the holder of key and stores
	// value there for others to read. It returns ErrLeaseHeld if the key is taken.
	TryAcquire(ctx context.Context, key string, value []byte) (Lease, error)
	// Holder returns whether key is held, and the value stored there.
	Holder(ctx context.Context, key string) (Holder, error)
}

// Holder describes the holder of a key.
type Holder struct {
	// Held is false when no process holds the key; Value is then that of the last holder.
	Held  bool
	Value []byte
}

// Lease is a key that is held until it is released or lost. It may be used by
// several goroutines.
type Lease interface {
	// Key returns the key held.
	Key() string
	// Valid reports whether the lease may still be trusted. It checks the time
	// elapsed since the last renewal, and so is correct after a pause too.
	Valid() bool
	// Lost is closed when the lease has ended, by loss or by Release.
	Lost() <-chan struct{}
	// Release frees the key. It returns ErrLeaseLost if the lease had ended
	// before, and the store's error if the store could not be notified: the key is
	// then free once the time to live has elapsed. The lease has ended in any case.
	Release(ctx context.Context) error
}
