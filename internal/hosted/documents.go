package hosted

import (
	"fmt"
	"sync"

	"github.com/klauspost/compress/zstd"

	"github.com/levertide/levertide/internal/exchangepb"
)

const (
	// maximumDocument bounds a document, in bytes.
	maximumDocument = 8 << 20
	// documentWindow is the window of the compressor; larger ones cost memory.
	documentWindow = 128 << 10
)

// Documents holds the newest document that this node knows.
type Documents struct {
	consumer Consumer
	events   Events

	mutex        sync.Mutex
	revision     uint64
	compressed   []byte
	compressor   *zstd.Encoder
	decompressor *zstd.Decoder
}

// NewDocuments returns an empty Documents.
func NewDocuments(consumer Consumer, events Events) *Documents {
	compressor, err := zstd.NewWriter(nil,
		zstd.WithEncoderLevel(zstd.SpeedDefault),
		zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(documentWindow),
		zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic(fmt.Sprintf("hosted: options of the compressor: %v", err))
	}
	decompressor, err := zstd.NewReader(nil,
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maximumDocument))
	if err != nil {
		panic(fmt.Sprintf("hosted: options of the decompressor: %v", err))
	}
	return &Documents{consumer: consumer, events: events, compressor: compressor, decompressor: decompressor}
}

// Revision returns the revision of the newest document; zero when there is none.
func (d *Documents) Revision() uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.revision
}

// After returns the newest document in the form of messages if it is newer than
// the given revision, else nil.
func (d *Documents) After(revision uint64) *exchangepb.Document {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.revision <= revision {
		return nil
	}
	return &exchangepb.Document{Revision: d.revision, Content: d.compressed}
}

// Take takes a document from the store. It reports whether it was news.
func (d *Documents) Take(document Document) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if document.Revision <= d.revision {
		return false
	}
	d.compressed = d.compressor.EncodeAll(document.Content, nil)
	d.put(document)
	return true
}

// TakeMessage takes a document from another node. It reports whether it was news.
func (d *Documents) TakeMessage(message *exchangepb.Document) bool {
	if message == nil {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if message.GetRevision() <= d.revision {
		return false
	}
	content, err := d.decompressor.DecodeAll(message.GetContent(), nil)
	if err != nil {
		d.events.DocumentRejected(message.GetRevision(), err)
		return false
	}
	d.compressed = message.GetContent()
	d.put(Document{Revision: message.GetRevision(), Content: content})
	return true
}

// put offers a document to the consumer. One that cannot be used is kept and
// handed on all the same: others may be able to, and all must agree on which is
// the newest. The mutex is held.
func (d *Documents) put(document Document) {
	d.revision = document.Revision
	if err := d.consumer.Offer(document.Content); err != nil {
		d.events.DocumentRejected(document.Revision, err)
	}
}
