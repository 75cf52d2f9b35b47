package lease

import (
	"context"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("levertide.lease").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// The types of error of this package. Errors of the store itself, such as
// store.ErrUnreachable, are passed on with their type.
var (
	// ErrLeaseHeld tells that another process holds the key, or that the store
	// keeps it closed for a while after its holder lapsed.
	ErrLeaseHeld = namespace.NewType("lease_held", errorx.Temporary())
	// ErrLeaseLost tells that a lease ended before it was released.
	ErrLeaseLost = namespace.NewType("lease_lost")
)

// Lessor hands out leases. It may be used by several goroutines.
type Lessor interface {
	// TryAcquire makes one attempt to become the holder of key and leaves
	// value there for others to read. ErrLeaseHeld tells that it is taken.
	TryAcquire(ctx context.Context, key string, value []byte) (Lease, error)
	// Holder returns what the present holder of key left there.
	Holder(ctx context.Context, key string) (Holder, error)
}

// Holder tells who holds a key.
type Holder struct {
	// Held is false when nobody does; Value is then what the last one left.
	Held  bool
	Value []byte
}

// Lease is a key that is held until it is released or lost. It may be used by
// several goroutines.
type Lease interface {
	// Key returns the key held.
	Key() string
	// Valid reports whether the lease may still be trusted. It compares the
	// time gone by since the last renewal, and so is right after a pause too.
	Valid() bool
	// Lost is closed when the lease has ended, by loss or by Release.
	Lost() <-chan struct{}
	// Release gives the key up. It returns ErrLeaseLost if the lease had ended
	// before, and the store's error if the store could not be told: the key is
	// then free once the time to live has gone by. The lease has ended in any case.
	Release(ctx context.Context) error
}
