package store

import (
	"context"
	"net/netip"
	"time"
)

// Record is one key as the store holds it.
type Record struct {
	Key   string
	Value []byte
	// ModifyIndex rises whenever the record is written. Compare-and-swap operations
	// state the index that they expect.
	ModifyIndex uint64
	// Session is the session that holds the key, or empty.
	Session string
}

// ReadOptions control how Get answers.
type ReadOptions struct {
	// Consistent requests an answer that reflects every write completed before the read.
	Consistent bool
	// WaitIndex, when not zero, delays the answer until the key's index exceeds it
	// or Wait has elapsed.
	WaitIndex uint64
	Wait      time.Duration
}

// Verb is what one operation of a transaction does.
type Verb string

// The verbs of a transaction.
const (
	// VerbSet writes the value unconditionally.
	VerbSet Verb = "set"
	// VerbCompareAndSwap writes if the key's index is Index; zero means that the key must not exist.
	VerbCompareAndSwap Verb = "cas"
	// VerbCheckIndex fails the transaction unless the key's index is Index; zero
	// means that the key must not exist.
	VerbCheckIndex Verb = "check-index"
	// VerbDelete removes the key.
	VerbDelete Verb = "delete"
)

// Operation is one step of a transaction. All steps take effect or none.
type Operation struct {
	Verb  Verb
	Key   string
	Value []byte
	Index uint64
}

// Store is the platform's key-value service. All methods may be called from
// several goroutines. Errors are those of this package; NotWritten reports for
// which of them a write did not take effect.
type Store interface {
	// Get returns a record and the index to wait on next. A missing key is ErrNotFound;
	// the index is valid then too.
	Get(ctx context.Context, key string, options ReadOptions) (Record, uint64, error)
	// GetMany returns the records of at most MaxTransactionOperations keys in one
	// request, in the order of the keys; keys that do not exist are left out.
	GetMany(ctx context.Context, keys []string, consistent bool) ([]Record, error)
	// List returns all records below a prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Record, error)
	// ListKeys returns the keys below a prefix in order, without their values.
	ListKeys(ctx context.Context, prefix string) ([]string, error)
	// Transact carries out all operations or none. ErrConflict reports that a
	// comparison failed, ErrTooLarge that the limits of a transaction are exceeded.
	Transact(ctx context.Context, operations []Operation) error
	// CreateSession opens a session that lapses unless it is renewed within ttl.
	CreateSession(ctx context.Context, name string, ttl time.Duration) (string, error)
	// RenewSession extends a session by its ttl; ErrSessionGone reports that it has
	// lapsed or was destroyed.
	RenewSession(ctx context.Context, session string) error
	// DestroySession ends a session and releases the keys that it holds.
	DestroySession(ctx context.Context, session string) error
	// Acquire makes session the holder of key and writes value. It returns false if
	// another session holds the key, or if the key is still in the lock delay after
	// a session lapsed.
	Acquire(ctx context.Context, key string, value []byte, session string) (bool, error)
	// Release releases the key if session holds it.
	Release(ctx context.Context, key string, session string) error
}

// Machine is one entry of the platform's list of machines, which may be out of date.
type Machine struct {
	Node           string
	Region         string
	Zone           string
	Service        string
	ControlAddress netip.AddrPort
	// Invalid says why the list names no control address of the machine; nil if it
	// names one.
	Invalid error
	// Leaving reports that the platform is about to remove the machine.
	Leaving bool
}

// MachineList is the platform's list of machines. It lags behind the actual machines
// and is only a hint.
type MachineList interface {
	// Machines returns the machines that the platform believes to exist.
	Machines(ctx context.Context) ([]Machine, error)
}
