package hosted

import (
	"context"
	"time"
)

// Document is one configuration as the store holds it.
type Document struct {
	// Revision is that of the store; a later document has a higher one.
	Revision uint64
	Content  []byte
}

// Source is where accepted documents come from. Errors are ErrRefused,
// ErrUnanswered, ErrHistoryGone and ErrNoDocument.
type Source interface {
	// Read returns the newest document, and the revision to watch from.
	Read(ctx context.Context) (Document, uint64, error)
	// Watch waits for a document after the given revision, at most for the given
	// time. It returns the revision to go on from; the document is nil when
	// there was none.
	Watch(ctx context.Context, after uint64, wait time.Duration) (*Document, uint64, error)
}

// Lease names a lease of the store.
type Lease string

// Directory is where nodes leave their addresses for those that start. Errors
// are ErrRefused, ErrUnanswered and ErrLeaseEnded.
type Directory interface {
	// Announce writes the node's entry under a new lease of the given life.
	Announce(ctx context.Context, id string, entry []byte, life time.Duration) (Lease, error)
	// Renew lengthens the lease.
	Renew(ctx context.Context, lease Lease) error
	// Withdraw ends the lease, and the entry with it.
	Withdraw(ctx context.Context, lease Lease) error
	// List returns entries of other nodes, not necessarily all.
	List(ctx context.Context) ([][]byte, error)
}

// Consumer is told of documents.
type Consumer interface {
	// Offer puts a document in force if it is newer than the one in force. It
	// fails with ErrInvalidDocument, and changes nothing then.
	Offer(content []byte) error
}
