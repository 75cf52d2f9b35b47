package soak

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/levertide/levertide/internal/exchangepb"
	"github.com/levertide/levertide/internal/sidecar"
	"github.com/levertide/levertide/pkg/endpoint"
	"github.com/levertide/levertide/pkg/workers"
)

const (
	// longText is the length of an odd text, in bytes, nestedDepth how deep an odd entry is nested, and
	// manyWorkers how many workers one names.
	longText    = 200 << 10
	nestedDepth = 200_000
	manyWorkers = 5_000
	// oddEntries and oddHeartbeats bound how many are drawn at a time, and oddPause the pause after each
	// of these heartbeats.
	oddEntries    = 4
	oddHeartbeats = 8
	oddPause      = 50 * time.Millisecond
)

// oddAddresses are addresses that nothing can listen on, and texts that are none.
var oddAddresses = []string{"10.1.0.1:70000", "10.1.0.1:-1", "10.1.0.1:0", "10.1.0.1", ":", "10.1.0.1:80\r\nX: y", "[::1", "\x00:1", strings.Repeat("9", 64) + ":1"}

// oddNumbers are the largest and smallest numbers, and their neighbours.
var oddNumbers = []uint64{0, 1, math.MaxInt32, math.MaxUint32, math.MaxInt64, math.MaxInt64 + 1, math.MaxUint64}

func drawOne[T any](random *rand.Rand, list []T) T { return list[random.IntN(len(list))] }

// oddForeignEntries writes odd entries where nodes store theirs, also in the place of a node's.
func (f *faults) oddForeignEntries(m *machine) {
	random := rand.New(rand.NewPCG(f.added.Uint64(), 0))
	node := m.nodeID()
	for n := range 1 + random.IntN(oddEntries) {
		id := fmt.Sprint("odd-", n)
		form := random.IntN(len(oddContents) + 1)
		var content []byte
		if form < len(oddContents) {
			content = oddContents[form](random, id)
		} else {
			// Until the node writes it again, the entry holds no drain commitments, as after a restore.
			id, content = node, broken(random, f.store.Entry(node))
			f.lackEntries()
		}
		f.options.Log("store: an odd entry %s of form %d, %d bytes", id, form, len(content))
		f.store.PutForeign(id, content)
	}
}

// broken returns the entry of a node with some bytes changed, cut short or repeated.
func broken(random *rand.Rand, entry []byte) []byte {
	content := slices.Clone(entry)
	for range random.IntN(4) {
		if len(content) > 0 {
			content[random.IntN(len(content))] = byte(random.IntN(256))
		}
	}
	switch random.IntN(3) {
	case 0:
		return content[:random.IntN(len(content)+1)]
	case 1:
		return append(content, entry...)
	}
	return content
}

// oddContents are the odd entries that no node has written.
var oddContents = []func(random *rand.Rand, id string) []byte{
	func(*rand.Rand, string) []byte { return []byte(strings.Repeat("\x0b", nestedDepth)) },
	func(*rand.Rand, string) []byte { return []byte(strings.Repeat("[", nestedDepth)) },
	func(random *rand.Rand, id string) []byte { return encodeNode(oddNode(random, id)) },
	func(random *rand.Rand, id string) []byte {
		n := oddNode(random, id)
		n.Region = strings.Repeat("r", longText)
		return encodeNode(n)
	},
	func(random *rand.Rand, id string) []byte {
		n := oddNode(random, id)
		for len(n.GetWorkers()) < manyWorkers {
			n.Workers = append(n.Workers, oddWorker(random))
		}
		return encodeNode(n)
	},
	func(random *rand.Rand, id string) []byte {
		const mark = "not-utf-8"
		n := oddNode(random, id)
		n.Workers = append(n.Workers, &exchangepb.Worker{Instance: mark, Service: serviceName, State: exchangepb.WorkerState_WORKER_STATE_GONE})
		return []byte(strings.ReplaceAll(string(encodeNode(n)), mark, "\xff\xfe\xfd\xfc-utf8"[:len(mark)]))
	},
}

// oddNode returns a node that has left, with odd fields.
func oddNode(random *rand.Rand, id string) *exchangepb.Node {
	return &exchangepb.Node{
		Id: id, Incarnation: drawOne(random, oddNumbers), Sequence: drawOne(random, oddNumbers), Region: "region", Zone: "zone-0",
		ControlAddress: drawOne(random, oddAddresses), CallAddress: drawOne(random, oddAddresses), State: exchangepb.NodeState_NODE_STATE_LEFT,
		Capacity: uint32(drawOne(random, oddNumbers)), StoreEra: 0, Workers: []*exchangepb.Worker{oddWorker(random), oddWorker(random)},
	}
}

// oddWorker returns a worker of no machine, with odd fields.
func oddWorker(random *rand.Rand) *exchangepb.Worker {
	return &exchangepb.Worker{
		Instance: fmt.Sprint("odd-", random.IntN(3)), Service: serviceName, Slots: uint32(drawOne(random, oddNumbers)),
		Sequence: drawOne(random, oddNumbers), State: exchangepb.WorkerState(random.IntN(7)), Address: drawOne(random, oddAddresses),
		BornUnixMs: int64(drawOne(random, oddNumbers)), SupersededBornUnixMs: []int64{math.MinInt64, math.MaxInt64},
	}
}

func encodeNode(n *exchangepb.Node) []byte {
	encoded, err := proto.Marshal(n)
	if err != nil {
		panic(err)
	}
	return encoded
}

// sendOddHeartbeats sends a node heartbeats that no worker of the soak sends.
func (f *faults) sendOddHeartbeats(ctx context.Context, m *machine) {
	random := rand.New(rand.NewPCG(f.added.Uint64(), 0))
	f.options.Log("%s: odd heartbeats", m.id)
	f.running.Go(func() {
		for range 1 + random.IntN(oddHeartbeats) {
			if registrar := m.currentRegistrar(); registrar != nil {
				f.sendOdd(ctx, registrar, drawOddHeartbeat(random), drawOne(random, oddAddresses))
			}
			wait(ctx, oddPause)
		}
	})
}

// drawOddHeartbeat draws a heartbeat of a worker that there is not, without its address.
func drawOddHeartbeat(random *rand.Rand) workers.Heartbeat {
	return workers.Heartbeat{
		Instance:  drawOne(random, []string{"odd-1", "odd-2", "\xff", "odd-\xc3\x28", "odd\x00", strings.Repeat("i", longText), ""}),
		StartedAt: int64(drawOne(random, oddNumbers)), Service: serviceName, Slots: int(int32(drawOne(random, oddNumbers))),
		Sequence: drawOne(random, oddNumbers), Draining: random.IntN(2) == 0, Busy: int(drawOne(random, oddNumbers)), ColdRemaining: time.Duration(drawOne(random, oddNumbers)),
		Limit: workers.Limit{Set: random.IntN(2) == 0, PerSecond: drawOne(random, []float64{0, -1, 1, math.MaxFloat64, math.Inf(1), math.NaN()})},
	}
}

// sendOdd sends an odd heartbeat from an address, which must be refused if its instance cannot be sent on.
func (f *faults) sendOdd(ctx context.Context, registrar sidecar.Registrar, odd workers.Heartbeat, address string) {
	err := reportHeartbeat(ctx, registrar, odd, address)
	if !utf8.ValidString(odd.Instance) && !errorx.IsOfType(err, workers.ErrInvalid) {
		f.ledger.fail("a heartbeat whose instance %q is not UTF-8 was answered %v", odd.Instance, err)
	}
}

// reportHeartbeat reports a heartbeat as the interface for workers does, which parses its address.
func reportHeartbeat(ctx context.Context, registrar sidecar.Registrar, heartbeat workers.Heartbeat, address string) error {
	parsed, err := endpoint.Parse(address)
	if err != nil {
		registrar.Reject(heartbeat.Instance, err)
		return workers.ErrInvalid.Wrap(err, "address")
	}
	heartbeat.Address = parsed
	return registrar.Heartbeat(ctx, heartbeat)
}
