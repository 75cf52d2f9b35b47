package hosted

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/canary"
	"github.com/levertide/levertide/pkg/quarantine"
	"github.com/levertide/levertide/pkg/workers"
)

// recordingConsumer keeps what it was offered.
type recordingConsumer struct{ offered [][]byte }

func (c *recordingConsumer) Offer(content []byte) error {
	c.offered = append(c.offered, content)
	return nil
}

// quietEvents is told everything and does nothing.
type quietEvents struct{}

func (quietEvents) DocumentRejected(uint64, error)                 {}
func (quietEvents) DocumentPassedOver(uint64, uint64, uint64)      {}
func (quietEvents) ReaderRoleChanged(bool)                         {}
func (quietEvents) StoreReachable()                                {}
func (quietEvents) StoreUnreachable(error)                         {}
func (quietEvents) StoreRestored(uint64, Era)                      {}
func (quietEvents) HeartbeatRejected(string, error)                {}
func (quietEvents) EntryRejected(string)                           {}
func (quietEvents) EntryRestored(uint64, int)                      {}
func (quietEvents) NodeLost(string, error)                         {}
func (quietEvents) NodeFound(string)                               {}
func (quietEvents) RecallFailed(string, error)                     {}
func (quietEvents) WorkerChanged(workers.Worker, string)           {}
func (quietEvents) DrainCommitmentHeld(string, int, bool)          {}
func (quietEvents) PreviousIncarnationFound(uint64, int)           {}
func (quietEvents) RequestQuarantined(quarantine.Verdict, string)  {}
func (quietEvents) QuarantineEnded(quarantine.Fingerprint, string) {}
func (quietEvents) RolloutOrdered(string, string, time.Duration)   {}
func (quietEvents) RolloutDecided(string, string, canary.State, float64, string, float64, float64) {
}

// offerNews does what Serve does when there are news.
func offerNews(d *Documents) {
	select {
	case <-d.news:
		d.offer()
	default:
	}
}

// exampleDocument has many routes, of which one depends on the version.
func exampleDocument(version int) []byte {
	var text strings.Builder
	for route := range 300 {
		fmt.Fprintf(&text, "route %d at /%x/ to service %d\n", route, route*7919, route%7)
	}
	fmt.Fprintf(&text, "version %d\n", version)
	return []byte(text.String())
}

func TestDocumentsTravelByTheirPredecessor(t *testing.T) {
	consumer := &recordingConsumer{}
	source, target := NewDocuments(&recordingConsumer{}, quietEvents{}), NewDocuments(consumer, quietEvents{})
	source.Take(Document{Version: 10, Content: exampleDocument(1)})
	first := source.ForBroadcast()
	if !target.TakeMessage(first) {
		t.Fatal("a whole document was not taken")
	}
	offerNews(target)
	source.Take(Document{Version: 12, Content: exampleDocument(2)})
	second := source.ForBroadcast()
	if second.GetBase() != 10 || len(second.GetContent()) > len(first.GetContent())/5 {
		t.Fatalf("base %d, %d bytes after %d", second.GetBase(), len(second.GetContent()), len(first.GetContent()))
	}
	held := target.TakeMessage(second)
	offerNews(target)
	if !held || !bytes.Equal(consumer.offered[1], exampleDocument(2)) {
		t.Fatal("the second document did not arrive as it was")
	}
}

func TestNodeThatLacksTheBaseAsksForTheWholeDocument(t *testing.T) {
	source := NewDocuments(&recordingConsumer{}, quietEvents{})
	source.Take(Document{Version: 10, Content: exampleDocument(1)})
	source.Take(Document{Version: 12, Content: exampleDocument(2)})
	consumer := &recordingConsumer{}
	target := NewDocuments(consumer, quietEvents{})
	if target.TakeMessage(source.ForBroadcast()) {
		t.Fatal("a document was made of a base that is not held")
	}
	held := target.TakeMessage(source.After(target.Version()))
	offerNews(target)
	if !held || !bytes.Equal(consumer.offered[0], exampleDocument(2)) {
		t.Fatal("the whole document was not taken")
	}
}

func TestOlderDocumentIsNotTaken(t *testing.T) {
	documents := NewDocuments(&recordingConsumer{}, quietEvents{})
	documents.Take(Document{Version: 12, Content: exampleDocument(2)})
	if documents.Take(Document{Version: 10, Content: exampleDocument(1)}) || documents.Version() != 12 {
		t.Fatal("an older document was taken")
	}
}

// TestDocumentsBetweenAreLeftOut lets two documents come before the consumer is free.
func TestDocumentsBetweenAreLeftOut(t *testing.T) {
	consumer := &recordingConsumer{}
	documents := NewDocuments(consumer, quietEvents{})
	if documents.InForce() {
		t.Fatal("in force before there is a document")
	}
	documents.Take(Document{Version: 10, Content: exampleDocument(1)})
	documents.Take(Document{Version: 12, Content: exampleDocument(2)})
	offerNews(documents)
	offerNews(documents)
	if len(consumer.offered) != 1 || !bytes.Equal(consumer.offered[0], exampleDocument(2)) || !documents.InForce() {
		t.Fatalf("%d documents offered", len(consumer.offered))
	}
}

// rejectingConsumer can use no document.
type rejectingConsumer struct{}

func (rejectingConsumer) Offer([]byte) error { return ErrInvalidDocument.New("test") }

func TestDocumentThatCannotBeUsedIsNotInForce(t *testing.T) {
	documents := NewDocuments(rejectingConsumer{}, quietEvents{})
	documents.Take(Document{Version: 10, Content: exampleDocument(1)})
	offerNews(documents)
	if documents.InForce() || documents.ForBroadcast() == nil {
		t.Fatal("a document that cannot be used must be handed on and not be in force")
	}
}
