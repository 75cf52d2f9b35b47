package hosted

import (
	"math"
	"net/netip"
	"reflect"
	"testing"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/internal/exchangepb"
	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/workers"
)

func exampleRecord() fleet.Node {
	return fleet.Node{
		ID: "a", Incarnation: 7, Sequence: 2, Zone: "z", ControlAddress: "10.0.0.1:70", CallAddress: "10.0.0.1:71", State: fleet.StateLive,
		Workers: []workers.Worker{{Instance: "i", Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 6, State: workers.StateReady, StartedAt: 5, Predecessors: []int64{9, 7}}},
	}
}

// entryOf encodes a record, none if it cannot be encoded.
func entryOf(record fleet.Node) []byte {
	content, _ := encodeEntry(record)
	return content
}

// TestRecordThatCannotBeEncodedIsAnError guards against a node that ends because of one text in its record.
func TestRecordThatCannotBeEncodedIsAnError(t *testing.T) {
	record := exampleRecord()
	record.Workers[0].Instance = "i\xff"
	if content, err := encodeEntry(record); !errorx.IsOfType(err, ErrUnencodable) || content != nil {
		t.Errorf("%q, %v", content, err)
	}
}

func TestEntryOfANodeIsRead(t *testing.T) {
	record := exampleRecord()
	read, ok := decodeEntry(Entry{ID: "a", Content: entryOf(record)})
	if !ok || read.Incarnation != 7 || !reflect.DeepEqual(read.Workers, record.Workers) {
		t.Errorf("%+v, %t", read, ok)
	}
}

// TestEntriesOfOtherWritersNameNoNode invalidates one field of an entry at a time.
func TestEntriesOfOtherWritersNameNoNode(t *testing.T) {
	for name, change := range map[string]func(n *fleet.Node){
		"another identifier":        func(n *fleet.Node) { n.ID = "b" },
		"no identifier":             func(n *fleet.Node) { n.ID = "" },
		"no incarnation":            func(n *fleet.Node) { n.Incarnation = 0 },
		"the last incarnation":      func(n *fleet.Node) { n.Incarnation = math.MaxUint64 },
		"no zone":                   func(n *fleet.Node) { n.Zone = "" },
		"no address":                func(n *fleet.Node) { n.ControlAddress = "" },
		"an address that is none":   func(n *fleet.Node) { n.ControlAddress = "somewhere" },
		"no state":                  func(n *fleet.Node) { n.State = 0 },
		"a state that there is not": func(n *fleet.Node) { n.State = 9 },
	} {
		record := exampleRecord()
		change(&record)
		if read, ok := decodeEntry(Entry{ID: "a", Content: entryOf(record)}); ok {
			t.Errorf("%s: %+v", name, read)
		}
	}
	for _, content := range []string{"", "{}", `{"id":"a"}`, "\xff\xff\xff", "\x0a\x01a"} {
		if read, ok := decodeEntry(Entry{ID: "a", Content: []byte(content)}); ok {
			t.Errorf("%q: %+v", content, read)
		}
	}
}

// TestWorkersThatCannotBeUsedAreLeftOut invalidates one field of one of the two workers of an
// entry.
func TestWorkersThatCannotBeUsedAreLeftOut(t *testing.T) {
	for name, change := range map[string]func(w *workers.Worker){
		"no instance":               func(w *workers.Worker) { w.Instance = "" },
		"no service":                func(w *workers.Worker) { w.Service = "" },
		"no address":                func(w *workers.Worker) { w.Address = netip.AddrPort{} },
		"no slots":                  func(w *workers.Worker) { w.Slots = 0 },
		"no state":                  func(w *workers.Worker) { w.State = 0 },
		"a state that there is not": func(w *workers.Worker) { w.State = 99 },
	} {
		record := exampleRecord()
		other := record.Workers[0]
		other.Instance = "other"
		change(&record.Workers[0])
		record.Workers = append(record.Workers, other)
		read, ok := decodeEntry(Entry{ID: "a", Content: entryOf(record)})
		if !ok || len(read.Workers) != 1 || read.Workers[0].Instance != "other" {
			t.Errorf("%s: %+v, %t", name, read.Workers, ok)
		}
	}
}

// FuzzEntry decodes arbitrary bytes as the entry of a node.
func FuzzEntry(f *testing.F) {
	f.Add(entryOf(exampleRecord()))
	f.Fuzz(func(t *testing.T, content []byte) {
		read, ok := decodeEntry(Entry{ID: "a", Content: content})
		if ok && (read.ID != "a" || read.Incarnation == 0) {
			t.Errorf("%+v", read)
		}
	})
}

// TestOddAddressOfAWorkerCostsItsOwnRecord guards against one worker of odd address that costs another one its place,
// or a leaving one its drain commitment.
func TestOddAddressOfAWorkerCostsItsOwnRecord(t *testing.T) {
	messages := workerMessages([]workers.Worker{exampleRecord().Workers[0], exampleRecord().Workers[0], exampleRecord().Workers[0]})
	messages[0].Address, messages[1].Address = "10.0.0.1 :80", "http://10.0.0.1:80/"
	messages[1].State = exchangepb.WorkerState_WORKER_STATE_DRAINING
	read := workersOf(messages)
	if len(read) != 2 || read[0].State != workers.StateDraining || read[0].Address.IsValid() || read[1].Address != exampleRecord().Workers[0].Address {
		t.Errorf("%+v", read)
	}
}
