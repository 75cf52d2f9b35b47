package hosted

import (
	"context"
	"time"
)

// Document is one configuration as the store holds it.
type Document struct {
	// Version is set by the operators: a later document has a higher one, even after the store was
	// restored from a copy. Zero when the content has no version; such a document is not accepted.
	Version uint64
	// Revision is the store's, for the log only: it falls when the store is restored from a copy.
	Revision uint64
	Content  []byte
}

// Position is a place in the history of the store.
type Position struct {
	// Era is the era in the answer that gave the revision; zero when the answer gave none.
	Era uint64
	// Revision is valid in that era only.
	Revision uint64
}

// Era counts how often the store was restored from a copy. Revisions of different eras cannot be
// compared.
type Era struct {
	// Number rises with each restore, starting at one; zero when the store does not report it.
	Number uint64
	// SawPrevious is set when an answer of an earlier era was seen, too.
	SawPrevious bool
	// PreviousHighest is the highest revision seen in the previous era, and First the first one
	// seen in this era: what was written up to First may come from the copy. Zero when none was
	// seen.
	PreviousHighest, First uint64
}

// Source provides the documents that the platform has accepted. Errors are ErrRefused,
// ErrUnanswered, ErrHistoryGone and ErrNoDocument.
type Source interface {
	// Read returns the newest document, and the position to watch from.
	Read(ctx context.Context) (Document, Position, error)
	// Watch waits for a document after the given position, for at most the given time. It fails
	// with ErrHistoryGone when the answer belongs to another era.
	Watch(ctx context.Context, after Position, wait time.Duration) (Watched, error)
	// Era returns the highest era in any answer to this node.
	Era() Era
}

// Watched is the result of a watch.
type Watched struct {
	// Document is the newest one; nil when there was none.
	Document *Document
	// Superseded is how many older documents came with it.
	Superseded int
	// Orders are the roll-out orders received.
	Orders []Order
	// Next is the position to continue from.
	Next Position
}

// Add adds a document that was received after the previous ones. A store that was restored from a
// copy may return an older version after a newer one.
func (w *Watched) Add(d Document) {
	if w.Document != nil {
		w.Superseded++
	}
	if w.Document == nil || d.Version > w.Document.Version {
		w.Document = &d
	}
}

// Lease is the name of a lease of the store.
type Lease string

// Entry is the entry of a node in the directory.
type Entry struct {
	// ID is the node's identifier.
	ID      string
	Content []byte
	// Revision is that of its last change; zero when there is no entry.
	Revision uint64
	// Lease is the lease that the entry is attached to; empty when the store does not report it.
	Lease Lease
}

// Directory is where nodes publish their addresses for nodes that start, and the drain commitments
// that must outlast them. Errors are ErrRefused, ErrUnanswered and ErrLeaseEnded.
type Directory interface {
	// Grant returns a new lease with the given time to live.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Replace writes a node's entry under a lease if the held entry still has the given revision,
	// and returns the entry held afterwards. When replaced is false, nothing was written. Without a
	// lease the entry stays until it is replaced or removed.
	Replace(ctx context.Context, e Entry, lease Lease) (held Entry, replaced bool, err error)
	// Entry returns the entry of a node; one of revision zero when there is none.
	Entry(ctx context.Context, id string) (Entry, error)
	// Renew extends the lease.
	Renew(ctx context.Context, lease Lease) error
	// Withdraw ends the lease, which removes the entry.
	Withdraw(ctx context.Context, lease Lease) error
	// Remove removes a node's entry if it still has the given revision.
	Remove(ctx context.Context, id string, revision uint64) error
	// List returns entries, not necessarily all. When stale is set they may be seconds old, which
	// costs the store less.
	List(ctx context.Context, stale bool) ([]Entry, error)
	// ListAll returns all entries, including everything written before the call.
	ListAll(ctx context.Context) ([]Entry, error)
}

// Consumer puts documents in force.
type Consumer interface {
	// Offer puts a document in force if it is newer than the one in force. When it fails with
	// ErrInvalidDocument, nothing has changed.
	Offer(content []byte) error
}
