package hosted

import (
	"context"
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/fleet"
)

// burstSource answers its first watch with the last of several documents, and
// counts the calls.
type burstSource struct {
	reads, watches int
}

func (s *burstSource) Read(context.Context) (Document, uint64, error) {
	s.reads++
	return Document{Revision: uint64(10 * s.reads), Content: exampleDocument(s.reads)}, uint64(10 * s.reads), nil
}

func (s *burstSource) Watch(_ context.Context, after uint64, _ time.Duration) (Watched, error) {
	s.watches++
	document := &Document{Revision: after + 5, Content: exampleDocument(99)}
	return Watched{Document: document, Superseded: 3, Next: after + 5}, nil
}

// TestReaderThatFallsBehindReadsTheNewest expects a read, not a further watch,
// after a watch that brought several documents.
func TestReaderThatFallsBehindReadsTheNewest(t *testing.T) {
	source := &burstSource{}
	documents := NewDocuments(&recordingConsumer{}, quietEvents{})
	r := &Reader{
		source: source, documents: documents, events: quietEvents{},
		table:    fleet.NewTable(fleet.Node{ID: "self", State: fleet.StateLive, ReadsStore: true}),
		contacts: fleet.NewContacts(), spread: func(context.Context) {}, announce: func(context.Context) {},
	}
	for range 3 {
		r.step(t.Context())
	}
	if source.reads != 2 || source.watches != 1 || documents.Revision() != 20 {
		t.Fatalf("%d reads, %d watches, revision %d", source.reads, source.watches, documents.Revision())
	}
}
