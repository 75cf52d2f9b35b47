package hosted

import (
	"context"
	"time"
)

// Document is one configuration as the store holds it.
type Document struct {
	// Version is the operators' number: a later document has a higher one, whatever becomes
	// of the store. Zero when the content does not tell it; such a document is not taken.
	Version uint64
	// Revision is that of the store, for the log only: it goes back with a store that
	// comes back from a copy.
	Revision uint64
	Content  []byte
}

// Position is a place in the history of the store.
type Position struct {
	// Era is that of the answer that told the revision; zero when it did not.
	Era uint64
	// Revision is of that era only.
	Revision uint64
}

// Era tells how often the store came back from a copy. Revisions of one era say nothing
// of another one.
type Era struct {
	// Number rises with each return, from one; zero when the store does not tell.
	Number uint64
	// SawPrevious tells that an answer of an earlier era was seen, too.
	SawPrevious bool
	// PreviousHighest is the highest revision seen in the era before, and First the first one seen in
	// this: what was written up to First may be from the copy. Zero when none was seen.
	PreviousHighest, First uint64
}

// Source is where accepted documents come from. Errors are ErrRefused,
// ErrUnanswered, ErrHistoryGone and ErrNoDocument.
type Source interface {
	// Read returns the newest document, and the position to watch from.
	Read(ctx context.Context) (Document, Position, error)
	// Watch waits for a document after the given position, at most for the given
	// time. It fails with ErrHistoryGone when the answer is of another era.
	Watch(ctx context.Context, after Position, wait time.Duration) (Watched, error)
	// Era returns the highest era that any answer to this node has told.
	Era() Era
}

// Watched is what a watch has brought.
type Watched struct {
	// Document is the newest one; nil when there was none.
	Document *Document
	// Superseded is how many older ones came with it.
	Superseded int
	// Orders are orders on roll-outs that came.
	Orders []Order
	// Next is the position to go on from.
	Next Position
}

// Add takes a document that came after those before. A store that came back from a copy may
// show an older version after a newer one.
func (w *Watched) Add(d Document) {
	if w.Document != nil {
		w.Superseded++
	}
	if w.Document == nil || d.Version > w.Document.Version {
		w.Document = &d
	}
}

// Lease names a lease of the store.
type Lease string

// Entry is what a node has left of itself in the directory.
type Entry struct {
	// ID is the node's identifier.
	ID      string
	Content []byte
	// Revision is that of its last change; zero when there is no entry.
	Revision uint64
	// Lease is what the entry is under; empty when the store does not tell.
	Lease Lease
}

// Directory is where nodes leave their addresses for those that start, and the
// promises that must outlast them. Errors are ErrRefused, ErrUnanswered and
// ErrLeaseEnded.
type Directory interface {
	// Grant returns a new lease of the given life.
	Grant(ctx context.Context, life time.Duration) (Lease, error)
	// Replace writes a node's entry under a lease, if the entry held is still that
	// of the given revision, and returns the entry held afterwards. When replaced
	// is false, nothing was written.
	Replace(ctx context.Context, e Entry, lease Lease) (held Entry, replaced bool, err error)
	// Entry returns the entry of a node; one of revision zero when there is none.
	Entry(ctx context.Context, id string) (Entry, error)
	// Renew lengthens the lease.
	Renew(ctx context.Context, lease Lease) error
	// Withdraw ends the lease, and the entry with it.
	Withdraw(ctx context.Context, lease Lease) error
	// List returns entries, not necessarily all. When stale is set they may be
	// seconds old, which costs the store less.
	List(ctx context.Context, stale bool) ([]Entry, error)
	// ListAll returns all entries. What was written before the call is in it.
	ListAll(ctx context.Context) ([]Entry, error)
}

// Consumer is told of documents.
type Consumer interface {
	// Offer puts a document in force if it is newer than the one in force. It
	// fails with ErrInvalidDocument, and changes nothing then.
	Offer(content []byte) error
}
