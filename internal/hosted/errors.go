package hosted

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("hosted")

// Types of the errors that a Source and a Directory return.
var (
	// ErrRefused: the store reported that it did nothing; it may be throttling.
	ErrRefused = newType("refused")
	// ErrUnanswered: the store did not answer. A write may have been done, or may be done later.
	ErrUnanswered = newType("unanswered")
	// ErrHistoryGone: the store no longer has the history that a watch asks for; read the full
	// document instead.
	ErrHistoryGone = newType("history_gone")
	// ErrLeaseEnded: the lease has ended, and its keys are removed.
	ErrLeaseEnded = newType("lease_ended")
	// ErrNoDocument: the store holds no document yet.
	ErrNoDocument = newType("no_document")
	// ErrInvalidDocument: a document cannot be used.
	ErrInvalidDocument = newType("invalid_document")
)

// ErrUnencodable: a record cannot be encoded as a message, and is not written.
var ErrUnencodable = newType("unencodable")

// ErrInvalidEntry: an entry of the store is not a record of the node that its key names.
var ErrInvalidEntry = newType("invalid_entry")

// ErrOtherNode: another node than the one that was asked has answered at its address.
var ErrOtherNode = newType("other_node")

func newType(name string) *errorx.Type {
	return namespace.NewType(name).ApplyModifiers(errorx.TypeModifierOmitStackTrace)
}
