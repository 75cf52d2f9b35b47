package hosted

import (
	"bytes"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/canary"
	"github.com/levertide/levertide/pkg/quarantine"
	"github.com/levertide/levertide/pkg/workers"
)

// recordingConsumer records the documents that it was offered.
type recordingConsumer struct{ offered [][]byte }

func (c *recordingConsumer) Offer(content []byte) error {
	c.offered = append(c.offered, content)
	return nil
}

// discardEvents discards all events.
type discardEvents struct{}

func (discardEvents) DocumentRejected(uint64, error)                      {}
func (discardEvents) DocumentPassedOver(uint64, uint64, uint64)           {}
func (discardEvents) ReaderRoleChanged(bool)                              {}
func (discardEvents) StoreReachable()                                     {}
func (discardEvents) StoreUnreachable(error)                              {}
func (discardEvents) StoreRestored(uint64, Era)                           {}
func (discardEvents) HeartbeatRejected(Refusal)                           {}
func (discardEvents) EntryRejected(string, error, uint64)                 {}
func (discardEvents) RecordUnencodable(error)                             {}
func (discardEvents) EntryRestored(uint64, int)                           {}
func (discardEvents) NodeLost(string, error)                              {}
func (discardEvents) NodeFound(string)                                    {}
func (discardEvents) NodeReplaced(string, netip.AddrPort)                 {}
func (discardEvents) RecallFailed(string, error)                          {}
func (discardEvents) PartFailed(string, string)                           {}
func (discardEvents) WorkerChanged(workers.Worker, string)                {}
func (discardEvents) WorkerCallIgnored(workers.Heartbeat, workers.Change) {}
func (discardEvents) DrainCommitmentHeld(string, int, bool)               {}
func (discardEvents) PreviousIncarnationFound(uint64, int)                {}
func (discardEvents) RequestQuarantined(quarantine.Verdict, string)       {}
func (discardEvents) QuarantineEnded(quarantine.Fingerprint, string)      {}
func (discardEvents) RolloutOrdered(string, string, time.Duration)        {}
func (discardEvents) RolloutDecided(string, string, canary.State, float64, string, float64, float64) {
}

// offerPending does what Serve does when there is a document that was not offered yet.
func offerPending(d *Documents) {
	select {
	case <-d.changed:
		d.offer()
	default:
	}
}

// exampleDocument has many routes, and one line that depends on the version.
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
	source, target := NewDocuments(&recordingConsumer{}, discardEvents{}), NewDocuments(consumer, discardEvents{})
	source.Take(Document{Version: 10, Content: exampleDocument(1)})
	first := source.ForBroadcast()
	if !target.TakeMessage(first) {
		t.Fatal("a full document was not accepted")
	}
	offerPending(target)
	source.Take(Document{Version: 12, Content: exampleDocument(2)})
	second := source.ForBroadcast()
	if second.GetBase() != 10 || len(second.GetContent()) > len(first.GetContent())/5 {
		t.Fatalf("base %d, %d bytes after %d", second.GetBase(), len(second.GetContent()), len(first.GetContent()))
	}
	held := target.TakeMessage(second)
	offerPending(target)
	if !held || !bytes.Equal(consumer.offered[1], exampleDocument(2)) {
		t.Fatal("the second document did not arrive as it was")
	}
}

func TestNodeThatLacksTheBaseAsksForTheWholeDocument(t *testing.T) {
	source := NewDocuments(&recordingConsumer{}, discardEvents{})
	source.Take(Document{Version: 10, Content: exampleDocument(1)})
	source.Take(Document{Version: 12, Content: exampleDocument(2)})
	consumer := &recordingConsumer{}
	target := NewDocuments(consumer, discardEvents{})
	if target.TakeMessage(source.ForBroadcast()) {
		t.Fatal("a document was decoded with a base that is not held")
	}
	held := target.TakeMessage(source.After(target.Version()))
	offerPending(target)
	if !held || !bytes.Equal(consumer.offered[0], exampleDocument(2)) {
		t.Fatal("the full document was not accepted")
	}
}

func TestOlderDocumentIsNotTaken(t *testing.T) {
	documents := NewDocuments(&recordingConsumer{}, discardEvents{})
	documents.Take(Document{Version: 12, Content: exampleDocument(2)})
	if documents.Take(Document{Version: 10, Content: exampleDocument(1)}) || documents.Version() != 12 {
		t.Fatal("an older document was accepted")
	}
}

// TestDocumentsBetweenAreLeftOut has two documents arrive before the consumer is free.
func TestDocumentsBetweenAreLeftOut(t *testing.T) {
	consumer := &recordingConsumer{}
	documents := NewDocuments(consumer, discardEvents{})
	if documents.InForce() {
		t.Fatal("in force before there is a document")
	}
	documents.Take(Document{Version: 10, Content: exampleDocument(1)})
	documents.Take(Document{Version: 12, Content: exampleDocument(2)})
	offerPending(documents)
	offerPending(documents)
	if len(consumer.offered) != 1 || !bytes.Equal(consumer.offered[0], exampleDocument(2)) || !documents.InForce() {
		t.Fatalf("%d documents offered", len(consumer.offered))
	}
}

// rejectingConsumer rejects every document.
type rejectingConsumer struct{}

func (rejectingConsumer) Offer([]byte) error { return ErrInvalidDocument.New("test") }

func TestDocumentThatCannotBeUsedIsNotInForce(t *testing.T) {
	documents := NewDocuments(rejectingConsumer{}, discardEvents{})
	documents.Take(Document{Version: 10, Content: exampleDocument(1)})
	offerPending(documents)
	if documents.InForce() || documents.ForBroadcast() == nil {
		t.Fatal("a document that cannot be used must be forwarded and not be in force")
	}
}
