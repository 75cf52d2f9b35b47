package hosted

import (
	"math"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/levertide/levertide/internal/exchangepb"
	"github.com/levertide/levertide/internal/testaddress"
	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/workers"
)

// callsAt is where nodes of the tests take calls.
var callsAt = netip.MustParseAddrPort("10.0.0.1:71")

func exampleRecord() fleet.Node {
	return fleet.Node{
		ID: "a", Incarnation: 7, Sequence: 2, Zone: "z", ControlAddress: netip.MustParseAddrPort("10.0.0.1:70"), CallAddress: callsAt, State: fleet.StateLive,
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
	read, err := decodeEntry(Entry{ID: "a", Content: entryOf(record)})
	if err != nil || read.Incarnation != 7 || !reflect.DeepEqual(read.Workers, record.Workers) {
		t.Errorf("%+v, %v", read, err)
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
		"no state":                  func(n *fleet.Node) { n.State = 0 },
		"a state that there is not": func(n *fleet.Node) { n.State = 9 },
	} {
		record := exampleRecord()
		change(&record)
		if read, err := decodeEntry(Entry{ID: "a", Content: entryOf(record)}); !errorx.IsOfType(err, ErrInvalidEntry) || read.ID != "" {
			t.Errorf("%s: %+v, %v", name, read, err)
		}
	}
	for _, content := range []string{"", "{}", `{"id":"a"}`, "\xff\xff\xff", "\x0a\x01a"} {
		if read, err := decodeEntry(Entry{ID: "a", Content: []byte(content)}); !errorx.IsOfType(err, ErrInvalidEntry) || read.ID != "" {
			t.Errorf("%q: %+v, %v", content, read, err)
		}
	}
}

// TestRecordsWithoutAnAddressNameNoNode guards against nodes that others know and that nobody can reach,
// and against a log that does not say what is odd.
func TestRecordsWithoutAnAddressNameNoNode(t *testing.T) {
	for _, text := range testaddress.Odd {
		for name, change := range map[string]func(n *exchangepb.Node){
			"control address": func(n *exchangepb.Node) { n.ControlAddress = text },
			"call address":    func(n *exchangepb.Node) { n.CallAddress = text },
		} {
			message := nodeMessage(exampleRecord())
			message.Workers[0].State = exchangepb.WorkerState_WORKER_STATE_DRAINING
			change(message)
			if nodes := nodesOf(message, nodeMessage(exampleRecord())); len(nodes) != 1 {
				t.Errorf("%s %q: %d nodes of one good record and one odd one", name, text, len(nodes))
			}
			content, err := proto.Marshal(message)
			if err != nil {
				t.Fatal(err)
			}
			read, err := decodeEntry(Entry{ID: "a", Content: content})
			if !errorx.IsOfType(err, ErrInvalidEntry) || !strings.Contains(err.Error(), name) || !strings.Contains(err.Error(), strconv.Quote(text[:min(len(text), 64)])) {
				t.Errorf("%s %q: %v", name, text, err)
			}
			if read.ControlAddress.IsValid() || len(drainCommittedOnly(read.Workers)) != 1 {
				t.Errorf("%s %q: %+v", name, text, read)
			}
		}
	}
}

// TestWorkerOfOddAddressCostsItsRecordNothingElse guards against a node, or another worker beside it, that
// is lost for the address of one worker.
func TestWorkerOfOddAddressCostsItsRecordNothingElse(t *testing.T) {
	for _, text := range testaddress.Odd {
		message := nodeMessage(exampleRecord())
		message.Workers = append(message.Workers,
			&exchangepb.Worker{Instance: "odd", Service: "s", Slots: 1, Address: text, State: exchangepb.WorkerState_WORKER_STATE_READY},
			&exchangepb.Worker{Instance: "left", Address: text, State: exchangepb.WorkerState_WORKER_STATE_GONE},
		)
		nodes := nodesOf(message)
		if len(nodes) != 1 || len(nodes[0].Workers) != 2 || nodes[0].Workers[0].Instance != "i" || nodes[0].Workers[1].Instance != "left" {
			t.Errorf("%q: %+v", text, nodes)
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
		read, err := decodeEntry(Entry{ID: "a", Content: entryOf(record)})
		if err != nil || len(read.Workers) != 1 || read.Workers[0].Instance != "other" {
			t.Errorf("%s: %+v, %v", name, read.Workers, err)
		}
	}
}

// FuzzEntry decodes arbitrary bytes as the entry of a node.
func FuzzEntry(f *testing.F) {
	f.Add(entryOf(exampleRecord()))
	f.Fuzz(func(t *testing.T, content []byte) {
		read, err := decodeEntry(Entry{ID: "a", Content: content})
		if err == nil && (!read.ControlAddress.IsValid() || !read.CallAddress.IsValid()) {
			t.Errorf("%+v", read)
		}
		if err == nil && (read.ID != "a" || read.Incarnation == 0) {
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
