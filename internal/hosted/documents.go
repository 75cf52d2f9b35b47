package hosted

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/levertide/levertide/internal/exchangepb"
)

// Documents holds the newest document that this node knows, and has it put in
// force. It is a suture service.
type Documents struct {
	consumer Consumer
	events   Events
	// changed is signalled when there is a document that was not offered yet.
	changed chan struct{}
	// available is closed when there is a first document.
	available chan struct{}
	restores  restoreCounters
	// offered is the version of the last document that the consumer took.
	offered atomic.Uint64

	mu       sync.Mutex
	newest   Document
	full     *exchangepb.Document // the newest in full, made when it is needed
	delta    *exchangepb.Document // the newest by the one before it; nil if there is none
	previous uint64
}

// NewDocuments returns an empty Documents.
func NewDocuments(consumer Consumer, events Events) *Documents {
	return &Documents{consumer: consumer, events: events, changed: make(chan struct{}, 1), available: make(chan struct{})}
}

// String names the part in events.
func (d *Documents) String() string { return "documents" }

// pauseFactor is how long, in times of its duration, nothing is put in force after a
// document was: a storm of changes then takes at most a tenth of what the machine has
// for everything. longestPause keeps every document in force within half a second; the
// tightest bound that operators have asked for is two.
const (
	pauseFactor  = 9
	longestPause = 500 * time.Millisecond
)

// noRevision stands for the revision of a document that another node has sent.
const noRevision = 0

// Serve offers the newest document to the consumer, until the context ends. When
// documents come faster than they can be put in force, those between are left out:
// on a slow machine a storm of changes must not queue up, nor hold up calls.
func (d *Documents) Serve(ctx context.Context) error {
	for {
		select {
		case <-d.changed:
			began := time.Now()
			d.offer()
			sleep(ctx, min(pauseFactor*time.Since(began), longestPause))
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// offer has the consumer put the newest document in force.
func (d *Documents) offer() {
	d.mu.Lock()
	document := d.newest
	d.mu.Unlock()
	if err := d.consumer.Offer(document.Content); err != nil {
		d.events.DocumentRejected(document.Revision, err)
		return
	}
	d.offered.Store(document.Version)
}

// InForce reports whether a document has been put in force.
func (d *Documents) InForce() bool { return d.offered.Load() > 0 }

// Available is closed when there is a first document.
func (d *Documents) Available() <-chan struct{} { return d.available }

// Version returns the version of the newest document; zero when there is none.
func (d *Documents) Version() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.newest.Version
}

// After returns the newest document, in the form of messages, for a node that
// holds the given version; nil when that is no older.
func (d *Documents) After(version uint64) *exchangepb.Document {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.newest.Version <= version:
		return nil
	case d.delta != nil && d.delta.GetBase() == version:
		return d.delta
	}
	if d.full == nil {
		d.full = &exchangepb.Document{Version: d.newest.Version, Content: compress(d.newest.Content, nil)}
	}
	return d.full
}

// ForBroadcast returns the newest document for all others: by the one before it, which
// most of them hold, if there is one.
func (d *Documents) ForBroadcast() *exchangepb.Document {
	d.mu.Lock()
	base := d.previous
	d.mu.Unlock()
	return d.After(base)
}

// Take takes a document from the store. It reports whether it was news. Documents are
// ordered by the operators' version: a store that came back from a copy gives out lower
// revisions again, and by these newer documents would stay out of force for seconds.
func (d *Documents) Take(document Document) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case document.Version == 0:
		d.events.DocumentRejected(document.Revision, ErrInvalidDocument.New("the content tells no version"))
		return false
	case document.Version < d.newest.Version:
		d.restores.passedOver.Add(1)
		d.events.DocumentPassedOver(document.Version, d.newest.Version, document.Revision)
		return false
	case document.Version == d.newest.Version:
		return false
	}
	d.put(document, nil)
	return true
}

// TakeMessage takes a document from another node. It reports whether this node
// holds the version of the message afterwards: it does not when the document
// was compressed by one that it lacks.
func (d *Documents) TakeMessage(message *exchangepb.Document) bool {
	if message == nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if message.GetVersion() <= d.newest.Version {
		return true
	}
	if base := message.GetBase(); base != 0 && base != d.newest.Version {
		return false
	}
	var dictionary []byte
	if message.GetBase() != 0 {
		dictionary = d.newest.Content
	}
	content, err := decompress(message.GetContent(), dictionary)
	if err != nil {
		d.events.DocumentRejected(noRevision, err)
		return false
	}
	d.put(Document{Version: message.GetVersion(), Content: content}, message)
	return true
}

// put makes a document the newest. One that cannot be used is kept and handed on
// all the same: others may be able to, and all must agree on which is the newest.
// The mutex is held.
func (d *Documents) put(document Document, message *exchangepb.Document) {
	previous := d.newest
	if previous.Version == 0 {
		close(d.available)
	}
	d.newest, d.previous = document, previous.Version
	d.full, d.delta = nil, nil
	switch {
	case message.GetBase() != 0:
		d.delta = message
	case previous.Version != 0:
		d.delta = &exchangepb.Document{
			Version: document.Version, Base: previous.Version,
			Content: compress(document.Content, previous.Content),
		}
	}
	if message != nil && message.GetBase() == 0 {
		d.full = message
	}
	select {
	case d.changed <- struct{}{}:
	default:
	}
}
