package hosted

import (
	"context"
	"math"
	"net/netip"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/levertide/levertide/internal/evidencewire"
	"github.com/levertide/levertide/internal/exchangepb"
	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/quarantine"
	"github.com/levertide/levertide/pkg/quota"
	"github.com/levertide/levertide/pkg/workers"
)

// receiving returns a node that takes messages, without a network.
func receiving() *Server {
	self := fleet.Node{ID: "self", Incarnation: 5, Zone: "z", ControlAddress: netip.MustParseAddrPort("10.0.0.2:70"), CallAddress: callsAt, State: fleet.StateLive}
	table := fleet.NewTable(self)
	documents := NewDocuments(&recordingConsumer{}, discardEvents{})
	directory := struct{ Directory }{}
	p := newPeers(Config{Mesh: "test", Table: table, Contacts: fleet.NewContacts(), Directory: directory, Events: discardEvents{}}, documents)
	idle := func(func(ctx context.Context)) {}
	agent := &Agent{
		config:  Config{Table: table, Events: discardEvents{}, Workers: workers.NewRegistry(time.Minute), Serving: idleServing{}},
		ignored: newIgnoredCalls(discardEvents{}), started: time.Now(), peers: p, documents: documents, announcer: &Announcer{},
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	agent.backgroundContext.Store(&ended)
	p.evidence = newEvidence(agent, quarantine.New(quarantine.Options{}))
	p.evidence.agent.announcer = newAnnouncer(directory, table, func() Era { return Era{} })
	p.onPrevious, p.onReplaced = agent.learnPrevious, func([]fleet.Node) {}
	p.hub = newHub(p, idle)
	quotas := NewQuotas(QuotaConfig{
		Table: table, Tolerance: quota.Tolerance{Overage: 0.1, Slack: 20}, Limited: func() bool { return true },
		Suspended: func(time.Time) time.Duration { return 0 }, Events: discardQuotaEvents{},
	})
	quotas.peers, quotas.known = p, func() bool { return true }
	return &Server{peers: p, background: idle, onContact: func(string) {}, quotas: quotas}
}

type discardQuotaEvents struct{}

func (discardQuotaEvents) TenantLimited(string, quota.Limit)                      {}
func (discardQuotaEvents) TenantLimitEnded(string, uint64, uint64, time.Duration) {}

// idleServing takes registrations and does nothing.
type idleServing struct{}

func (idleServing) Update([]workers.Worker) {}
func (idleServing) Open()                   {}

// oddNode returns a record whose numbers are all as large as they can be.
func oddNode(id string) *exchangepb.Node {
	return &exchangepb.Node{
		Id: id, Incarnation: math.MaxUint64, Sequence: math.MaxUint64, Zone: "z", ControlAddress: "10.0.0.1:9", CallAddress: "[::ffff:10.0.0.1]:8", State: 300, Capacity: math.MaxUint32, StoreEra: math.MaxUint64,
		Workers:     slices.Repeat([]*exchangepb.Worker{{Instance: "i", Service: "s", Slots: math.MaxUint32, Sequence: math.MaxUint64, State: 300, BornUnixMs: math.MinInt64, SupersededBornUnixMs: make([]int64, 64)}, {}}, 3),
		Rollouts:    []*exchangepb.Rollout{{Service: "s", Era: math.MaxUint64, Revision: math.MaxUint64, DeadlineUnixMs: math.MinInt64, ShareThousandths: math.MaxUint32, State: -1, Runs: []*exchangepb.RouteRuns{{LogTime: math.NaN()}}}},
		Quarantined: []*exchangepb.Quarantine{{Fingerprint: make([]byte, 16), SinceUnixMs: math.MinInt64, UntilUnixMs: math.MaxInt64, Instances: make([]string, 64)}, {}},
	}
}

// unaddressed returns a record whose addresses are none.
func unaddressed(id string) *exchangepb.Node {
	n := oddNode(id)
	n.ControlAddress, n.CallAddress = "10.0.0.1:99999", "[::1%zz]:port"
	return n
}

// mustFollow checks that a node that has taken odd messages follows the next good record, and that its
// own can be sent.
func mustFollow(t *testing.T, s *Server, number uint64) {
	t.Helper()
	good := nodeMessage(exampleRecord())
	good.Id, good.Incarnation, good.Sequence = "next-good", 1<<40, number
	request := &exchangepb.SyncRequest{Mesh: "test", Sender: good}
	response, err := s.Sync(t.Context(), request)
	if err != nil {
		t.Fatalf("a good message is refused: %v", err)
	}
	if held, known := s.peers.table.View().Node("next-good"); !known || held.Sequence != number {
		t.Errorf("the next good record is not followed: %+v, %t", held, known)
	}
	if _, err := proto.Marshal(response); err != nil {
		t.Errorf("the answer cannot be sent: %v", err)
	}
	if _, err := proto.Marshal(nodeMessage(s.peers.table.View().Self())); err != nil {
		t.Errorf("the own record cannot be sent: %v", err)
	}
}

// FuzzMessages has a node take bytes as each of the messages of other nodes, and as the header of a
// call that tells evidence.
func FuzzMessages(f *testing.F) {
	for _, message := range []proto.Message{
		&exchangepb.SyncRequest{Sender: oddNode("a"), Nodes: []*exchangepb.Node{oddNode("self"), oddNode(""), oddNode("a"), unaddressed("a"), nil}, Buckets: []uint32{0, 63, 64, math.MaxUint32}, DocumentVersion: math.MaxUint64, Document: &exchangepb.Document{Version: math.MaxUint64, Base: 7}},
		&exchangepb.BroadcastRequest{Sender: "a", Nodes: []*exchangepb.Node{oddNode("b")}, After: "z", Until: "a", Reach: 9, Evidence: []*exchangepb.Evidence{{Fingerprint: make([]byte, 16), Instance: "i", Level: math.MaxUint32, AgeMs: math.MinInt64}, {AgeMs: math.MaxInt64}}},
		&exchangepb.BorrowRequest{Sender: "a", Life: math.MaxUint64, Number: math.MaxUint64, Stamp: &exchangepb.Stamp{Life: 5, AtNs: math.MaxInt64}, Share: math.Inf(1), Wants: []*exchangepb.TokenWant{
			{Tenant: "t", Rate: math.MaxFloat64, Burst: math.MaxFloat64, Held: math.MaxFloat32, Returned: math.MaxFloat32, Wanted: math.MaxFloat32, Waiting: math.MaxFloat32}, {Tenant: "t", Rate: math.NaN()}, {Rate: 1},
		}},
		&exchangepb.SyncResponse{Receiver: oddNode("a"), BucketDigests: make([]uint64, 7), Promised: oddNode("a").Workers},
		&exchangepb.Known{Evidence: []*exchangepb.Evidence{{Fingerprint: make([]byte, 16), Level: math.MaxUint32, AgeMs: math.MaxInt64}}, Quarantined: oddNode("a").Quarantined},
	} {
		content, err := proto.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
	}
	number := uint64(0)
	s := receiving()
	f.Fuzz(func(t *testing.T, content []byte) {
		ctx := t.Context()
		var sync exchangepb.SyncRequest
		if proto.Unmarshal(content, &sync) == nil {
			sync.Mesh = "test"
			_, _ = s.Sync(ctx, &sync)
		}
		var broadcast exchangepb.BroadcastRequest
		if proto.Unmarshal(content, &broadcast) == nil {
			broadcast.Mesh, broadcast.Receiver = "test", ""
			_, _ = s.Broadcast(ctx, &broadcast)
		}
		var borrow exchangepb.BorrowRequest
		if proto.Unmarshal(content, &borrow) == nil {
			borrow.Mesh, borrow.Receiver = "test", "self"
			_, _ = s.Borrow(ctx, &borrow)
		}
		var response exchangepb.SyncResponse
		if proto.Unmarshal(content, &response) == nil {
			_ = s.peers.followUp(&response)
			s.peers.merge(append(nodesOf(response.GetNodes()...), nodesOf(response.GetReceiver())...), response.GetPromised())
		}
		var known exchangepb.Known
		if proto.Unmarshal(content, &known) == nil {
			table := quarantine.New(quarantine.Options{})
			table.Merge(evidencewire.DecodeReports(known.GetEvidence()), time.Now())
			table.Restore(evidencewire.DecodeVerdicts(known.GetQuarantined()), true, time.Now())
			table.Expire(time.Now())
			_ = evidencewire.EncodeHeader(table, time.Now())
		}
		number++
		mustFollow(t, s, number)
	})
}
