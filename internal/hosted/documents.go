package hosted

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/levertide/levertide/internal/exchangepb"
	"github.com/levertide/levertide/pkg/contain"
)

// Documents holds the newest document that this node knows, and has it put in force. It is a suture
// service.
type Documents struct {
	consumer Consumer
	events   Events
	panicked contain.Report
	// compress and decompress take a document that both sides hold as their dictionary; nil for none.
	compress   func(content, dictionary []byte) []byte
	decompress func(compressed, dictionary []byte) ([]byte, error)
	// changed is signalled when there is a document that was not offered yet.
	changed chan struct{}
	// available is closed when there is a first document.
	available chan struct{}
	restores  restoreCounters
	// offered is the version of the last document that the consumer accepted.
	offered atomic.Uint64

	mu       contain.Mutex
	newest   Document
	full     *exchangepb.Document // the newest in full, made when it is needed
	delta    *exchangepb.Document // the newest by the one before it; nil if there is none
	previous uint64
}

// NewDocuments returns an empty Documents.
func NewDocuments(consumer Consumer, events Events) *Documents {
	return &Documents{
		consumer: consumer, events: events, compress: compress, decompress: decompress,
		changed: make(chan struct{}, 1), available: make(chan struct{}),
	}
}

// String returns the name of the service in events.
func (d *Documents) String() string { return "documents" }

// pauseFactor is the pause after a document was put in force, as a multiple of the time that this
// took: while many changes arrive in a short time, putting them in force takes at most a tenth of
// the time. longestPause bounds the pause, so that a document is in force within half a second; the
// tightest bound that operators have asked for is two seconds.
const (
	pauseFactor  = 9
	longestPause = 500 * time.Millisecond
)

// noRevision stands for the revision of a document that another node has sent.
const noRevision = 0

// Serve offers the newest document to the consumer, until the context ends. When documents arrive
// faster than they can be put in force, intermediate ones are skipped: on a slow machine many
// changes must not queue up, nor delay calls.
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
	err := contain.Read("document", d.panicked, func() error { return d.consumer.Offer(document.Content) })
	if err != nil {
		d.events.DocumentRejected(document.Revision, err)
		return
	}
	d.offered.Store(document.Version)
}

// InForce reports whether a document has been put in force.
func (d *Documents) InForce() bool { return d.offered.Load() > 0 }

// Available returns a channel that is closed when there is a first document.
func (d *Documents) Available() <-chan struct{} { return d.available }

// Version returns the version of the newest document; zero when there is none.
func (d *Documents) Version() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.newest.Version
}

// After returns the newest document as a message, for a node that holds the given version; nil when
// that is no older.
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
		d.full = d.message(d.newest, Document{})
	}
	return d.full
}

// message returns a document as a message, by the one before it unless that is empty; nil when it
// cannot be compressed.
func (d *Documents) message(document, base Document) *exchangepb.Document {
	message := &exchangepb.Document{Version: document.Version, Base: base.Version}
	err := contain.Read("document", d.panicked, func() error {
		message.Content = d.compress(document.Content, base.Content)
		return nil
	})
	if err != nil {
		return nil
	}
	return message
}

// content returns the content of a message from a node that holds the given dictionary, too.
func (d *Documents) content(message *exchangepb.Document, dictionary []byte) ([]byte, error) {
	var content []byte
	err := contain.Read("document", d.panicked, func() (err error) {
		content, err = d.decompress(message.GetContent(), dictionary)
		return err
	})
	return content, err
}

// ForBroadcast returns the newest document as a message for all other nodes: compressed with the
// previous document, which most of them hold, if there is one.
func (d *Documents) ForBroadcast() *exchangepb.Document {
	d.mu.Lock()
	base := d.previous
	d.mu.Unlock()
	return d.After(base)
}

// Take accepts a document from the store. It reports whether it was newer than the one held.
// Documents are ordered by the operators' version: a store that was restored from a copy gives out
// lower revisions again, and ordered by these, newer documents would not come in force for seconds.
func (d *Documents) Take(document Document) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case document.Version == 0:
		d.events.DocumentRejected(document.Revision, ErrInvalidDocument.New("the content has no version"))
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

// TakeMessage accepts a document from another node. It reports whether this node holds the version
// of the message afterwards: it does not when the document was compressed with one that this node
// lacks.
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
	content, err := d.content(message, dictionary)
	if err != nil {
		d.events.DocumentRejected(noRevision, err)
		return false
	}
	d.put(Document{Version: message.GetVersion(), Content: content}, message)
	return true
}

// put makes a document the newest. One that cannot be used is held and forwarded all the same:
// others may be able to use it, and all must agree on which is the newest. The mutex is held.
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
		d.delta = d.message(document, previous)
	}
	if message != nil && message.GetBase() == 0 {
		d.full = message
	}
	select {
	case d.changed <- struct{}{}:
	default:
	}
}
