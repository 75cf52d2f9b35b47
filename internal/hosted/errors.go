package hosted

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("hosted")

// Types of the errors that a Source and a Directory return.
var (
	// ErrRefused: the store did nothing and said so; it may be throttling.
	ErrRefused = newType("refused")
	// ErrUnanswered: the store said nothing. A write may have been done, or may
	// be done later.
	ErrUnanswered = newType("unanswered")
	// ErrHistoryGone: the store has forgotten what a watch asks for; read whole.
	ErrHistoryGone = newType("history_gone")
	// ErrLeaseEnded: the lease is no more, and its keys with it.
	ErrLeaseEnded = newType("lease_ended")
	// ErrNoDocument: the store holds no document yet.
	ErrNoDocument = newType("no_document")
	// ErrInvalidDocument: a document cannot be used.
	ErrInvalidDocument = newType("invalid_document")
)

func newType(name string) *errorx.Type {
	return namespace.NewType(name).ApplyModifiers(errorx.TypeModifierOmitStackTrace)
}
