package hosted

import (
	"context"
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/fleet"
)

// burstSource answers its watches with the last of several documents, and counts the calls.
type burstSource struct {
	reads, watches int
}

func (s *burstSource) Read(context.Context) (Document, Position, error) {
	s.reads++
	version := uint64(10 * s.reads)
	return Document{Version: version, Content: exampleDocument(s.reads)}, Position{Revision: version}, nil
}

func (s *burstSource) Watch(_ context.Context, after Position, _ time.Duration) (Watched, error) {
	s.watches++
	next := after.Revision + 5
	return Watched{Document: &Document{Version: next, Content: exampleDocument(99)}, Superseded: 3, Next: Position{Revision: next}}, nil
}

func (s *burstSource) Era() Era { return Era{} }

// TestReaderThatFallsBehindReadsTheNewest expects a read instead of a further watch after a watch
// that returned several documents.
func TestReaderThatFallsBehindReadsTheNewest(t *testing.T) {
	source := &burstSource{}
	documents := NewDocuments(&recordingConsumer{}, discardEvents{})
	r := &Reader{
		source: source, documents: documents, events: discardEvents{},
		table:    fleet.NewTable(fleet.Node{ID: "self", State: fleet.StateLive, ReadsStore: true}),
		contacts: fleet.NewContacts(), spread: func(context.Context) {}, announce: func(context.Context) {},
	}
	for range 3 {
		r.step(t.Context())
	}
	if source.reads != 2 || source.watches != 1 || documents.Version() != 20 {
		t.Fatalf("%d reads, %d watches, version %d", source.reads, source.watches, documents.Version())
	}
}
