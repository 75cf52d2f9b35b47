package hosted_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/levertide/levertide/internal/hosted"

	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/internal/lab/hostedstore"
	"github.com/levertide/levertide/internal/testwait"
	"github.com/levertide/levertide/pkg/canary"
	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/quarantine"
	"github.com/levertide/levertide/pkg/quota"
	"github.com/levertide/levertide/pkg/workers"
)

// callsAt is where nodes of the tests take calls.
var callsAt = netip.MustParseAddrPort("10.0.0.1:71")

// testNode is one agent with what its parts have received.
type testNode struct {
	agent    *hosted.Agent
	table    *fleet.Table
	contacts *fleet.Contacts
	workers  *workers.Registry
	events   *recorder
	steering steering
	// quarantine holds what the node knows of requests that crash workers.
	quarantine *quarantine.Table
	// quotas enforces limits while limited is set.
	quotas  *hosted.Quotas
	limited atomic.Bool
	cancel  context.CancelFunc
	ended   chan struct{}
	address string

	mutex   sync.Mutex
	content []byte
	updated []workers.Worker
	open    bool

	// onUpdate is called with each update of the workers before it is taken; nil when nobody waits for it.
	onUpdate atomic.Pointer[func(registered []workers.Worker)]
	// probed is the worker's answer to a probe; nil when it does not answer.
	probed atomic.Pointer[workers.Heartbeat]
}

func (n *testNode) id() string { return n.table.View().Self().ID }

func (n *testNode) Offer(content []byte) error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.content = content
	return nil
}

func (n *testNode) Update(registered []workers.Worker) {
	if notify := n.onUpdate.Load(); notify != nil {
		(*notify)(registered)
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.updated = registered
}

func (n *testNode) Open() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.open = true
}

func (n *testNode) holds(content []byte) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return bytes.Equal(n.content, content)
}

// recorder records drain commitments and limited tenants.
type recorder struct {
	mutex       sync.Mutex
	commitments map[string]int
	// limits are the tenants that began and stopped being limited, in order.
	limits []string
}

func (r *recorder) TenantLimited(tenant string, _ quota.Limit) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.limits = append(r.limits, tenant+" limited")
}

func (r *recorder) TenantLimitEnded(tenant string, _, _ uint64, _ time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.limits = append(r.limits, tenant+" ended")
}

func (r *recorder) RequestQuarantined(quarantine.Verdict, string)       {}
func (r *recorder) QuarantineEnded(quarantine.Fingerprint, string)      {}
func (r *recorder) DocumentRejected(uint64, error)                      {}
func (r *recorder) DocumentPassedOver(uint64, uint64, uint64)           {}
func (r *recorder) ReaderRoleChanged(bool)                              {}
func (r *recorder) StoreReachable()                                     {}
func (r *recorder) StoreUnreachable(error)                              {}
func (r *recorder) StoreRestored(uint64, hosted.Era)                    {}
func (r *recorder) HeartbeatRejected(hosted.Refusal)                    {}
func (r *recorder) EntryRejected(string, error, uint64)                 {}
func (r *recorder) RecordUnencodable(error)                             {}
func (r *recorder) EntryRestored(uint64, int)                           {}
func (r *recorder) NodeLost(string, error)                              {}
func (r *recorder) NodeFound(string)                                    {}
func (r *recorder) NodeReplaced(string, netip.AddrPort)                 {}
func (r *recorder) RecallFailed(string, error)                          {}
func (r *recorder) PartFailed(string, string)                           {}
func (r *recorder) WorkerChanged(workers.Worker, string)                {}
func (r *recorder) WorkerCallIgnored(workers.Heartbeat, workers.Change) {}
func (r *recorder) PreviousIncarnationFound(uint64, int)                {}
func (r *recorder) RolloutOrdered(string, string, time.Duration)        {}
func (r *recorder) RolloutDecided(string, string, canary.State, float64, string, float64, float64) {
}
func (r *recorder) DrainCommitmentHeld(instance string, holders int, _ bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.commitments[instance] = holders
}

func (r *recorder) holders(instance string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.commitments[instance]
}

// startNode starts an agent on loopback; an empty address takes any.
func startNode(t testing.TB, store *hostedstore.Store, id, address string) *testNode {
	t.Helper()
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return startNodeOn(t, store, id, listener, (&net.Dialer{}).DialContext, false)
}

// startNodeOn starts an agent on the given network.
func startNodeOn(t testing.TB, store *hostedstore.Store, id string, listener net.Listener, dial httpconn.DialFunc, firstStart bool) *testNode {
	t.Helper()
	record := fleet.Node{
		ID: id, Incarnation: uint64(time.Now().UnixNano()), Sequence: fleet.FirstSequence, Region: "r", Zone: "zone-" + id[:1],
		ControlAddress: netip.MustParseAddrPort(listener.Addr().String()), CallAddress: callsAt, State: fleet.StateLive, ReadsStore: true,
	}
	node := &testNode{
		table:      fleet.NewTable(record),
		contacts:   fleet.NewContacts(),
		workers:    workers.NewRegistry(time.Minute),
		quarantine: quarantine.New(quarantine.Options{}),
		events:     &recorder{commitments: map[string]int{}},
		address:    listener.Addr().String(),
		ended:      make(chan struct{}),
	}
	node.quotas = hosted.NewQuotas(hosted.QuotaConfig{
		Table: node.table, Tolerance: quota.Tolerance{Overage: 0.1, Slack: 20}, Limited: node.limited.Load,
		Suspended: func(time.Time) time.Duration { return 0 }, Events: node.events,
	})
	client := store.Client(id)
	node.agent = hosted.New(hosted.Config{
		Mesh: "test", FirstStart: firstStart, Table: node.table, Contacts: node.contacts, Workers: node.workers,
		Source: client, Directory: client, Consumer: node, Serving: node, Probe: node, Rollouts: client, Steering: &node.steering,
		Listener: listener, Dial: dial, Events: node.events, Quarantine: node.quarantine, Quotas: node.quotas,
	})
	ctx, cancel := context.WithCancel(context.Background())
	node.cancel = cancel
	go func() {
		_ = node.agent.Serve(ctx)
		close(node.ended)
	}()
	t.Cleanup(node.kill)
	return node
}

// Identify implements hosted.WorkerProbe with the worker that the test has set.
func (n *testNode) Identify(context.Context) (workers.Heartbeat, error) {
	if heartbeat := n.probed.Load(); heartbeat != nil {
		return *heartbeat, nil
	}
	return workers.Heartbeat{}, hosted.ErrUnanswered.New("no worker")
}

// Instance implements hosted.WorkerProbe.
func (n *testNode) Instance(ctx context.Context) (string, error) {
	heartbeat, err := n.Identify(ctx)
	return heartbeat.Instance, err
}

// kill ends an agent without notice to the others.
func (n *testNode) kill() {
	n.cancel()
	<-n.ended
}

func startNodes(t *testing.T, store *hostedstore.Store, ids ...string) []*testNode {
	t.Helper()
	nodes := make([]*testNode, 0, len(ids))
	for _, id := range ids {
		nodes = append(nodes, startNode(t, store, id, ""))
	}
	testwait.Eventually(t, "all nodes know each other", func() bool {
		for _, node := range nodes {
			if len(node.table.View().Nodes()) != len(ids) || !node.agent.Ready() {
				return false
			}
		}
		return true
	})
	return nodes
}

func allHold(nodes []*testNode, content []byte) func() bool {
	return func() bool {
		for _, node := range nodes {
			if !node.holds(content) {
				return false
			}
		}
		return true
	}
}

func testDocument(number int) []byte { return []byte(fmt.Sprintf("document %d", number)) }

func newStore() *hostedstore.Store {
	store := hostedstore.New()
	store.Put(testDocument(0))
	return store
}

func TestEveryNodeLearnsEachDocument(t *testing.T) {
	store := newStore()
	nodes := startNodes(t, store, "a1", "a2", "b1", "b2", "c1", "c2", "d1")
	for number := 1; number <= 5; number++ {
		store.Put(testDocument(number))
		testwait.Eventually(t, "a document is everywhere", allHold(nodes, testDocument(number)))
	}
}

func TestNodesThatTheStoreRefusesLearnFromOthers(t *testing.T) {
	store := newStore()
	nodes := startNodes(t, store, "a1", "a2", "b1", "b2", "c1", "c2")
	for _, refused := range []string{"a1", "a2", "b1", "b2"} {
		store.SetFaults(refused, hostedstore.Faults{Refuse: true})
	}
	store.SetFaults("c1", hostedstore.Faults{Silent: true})
	store.Put(testDocument(1))
	testwait.Eventually(t, "the document is everywhere", allHold(nodes, testDocument(1)))
}

func TestReadersThatDieAreReplaced(t *testing.T) {
	store := newStore()
	nodes := startNodes(t, store, "a1", "a2", "b1", "b2", "c1", "c2")
	everybody := func(string) bool { return true }
	readers := fleet.Readers(nodes[0].table.View(), everybody, 3)
	var survivors []*testNode
	for _, node := range nodes {
		dies := false
		for _, reader := range readers {
			dies = dies || reader == node.table.View().Self().ID
		}
		if dies {
			node.kill()
		} else {
			survivors = append(survivors, node)
		}
	}
	store.Put(testDocument(1))
	testwait.Eventually(t, "the document is with all survivors", allHold(survivors, testDocument(1)))
}

func TestDocumentAfterTheHistoryIsGone(t *testing.T) {
	store := newStore()
	nodes := startNodes(t, store, "a1", "b1", "c1")
	store.SetFaults("", hostedstore.Faults{Refuse: true})
	store.Put(testDocument(1))
	store.Forget()
	store.SetFaults("", hostedstore.Faults{})
	testwait.Eventually(t, "the document is everywhere", allHold(nodes, testDocument(1)))
}

func TestSimultaneousStartsWaitForTheStore(t *testing.T) {
	store := newStore()
	store.SetFaults("", hostedstore.Faults{Refuse: true})
	var nodes []*testNode
	for _, id := range []string{"a1", "a2", "b1", "c1"} {
		nodes = append(nodes, startNode(t, store, id, ""))
	}
	testwait.Eventually(t, "the store was asked", func() bool { return store.Calls() > len(nodes) })
	for _, node := range nodes {
		if node.agent.Ready() {
			t.Fatal("ready without a document")
		}
	}
	store.SetFaults("", hostedstore.Faults{})
	testwait.Eventually(t, "all are ready", func() bool {
		for _, node := range nodes {
			if !node.agent.Ready() {
				return false
			}
		}
		return true
	})
}

func TestRestartedNodeIsFoundWhileTheStoreIsDown(t *testing.T) {
	store := newStore()
	nodes := startNodes(t, store, "a1", "b1", "c1")
	nodes[0].kill()
	store.SetFaults("", hostedstore.Faults{Silent: true})
	testwait.Eventually(t, "the others take it to be lost", func() bool {
		return !nodes[1].contacts.Reachable("a1") || !nodes[2].contacts.Reachable("a1")
	})
	restarted := startNode(t, store, "a1", nodes[0].address)
	testwait.Eventually(t, "the restarted node is ready", restarted.agent.Ready)
	if !restarted.holds(testDocument(0)) {
		t.Fatal("the restarted node has another document")
	}
}

func heartbeat(instance string, sequence uint64, draining bool) workers.Heartbeat {
	return workers.Heartbeat{Instance: instance, Service: "ledger", Address: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 6, Sequence: sequence, Draining: draining}
}

func mustHeartbeat(t *testing.T, node *testNode, heartbeat workers.Heartbeat) {
	t.Helper()
	if err := node.agent.Heartbeat(t.Context(), heartbeat); err != nil {
		t.Fatal(err)
	}
}

// TestAcknowledgedDrainBindsWhoeverDies kills the node that acknowledged a drain, with the store
// down, and sends a late heartbeat to its next incarnation.
func TestAcknowledgedDrainBindsWhoeverDies(t *testing.T) {
	store := newStore()
	nodes := startNodes(t, store, "a1", "b1", "c1", "d1")
	mustHeartbeat(t, nodes[0], heartbeat("w1", 3, false))
	mustHeartbeat(t, nodes[0], heartbeat("w1", 5, true))
	if holders := nodes[0].events.holders("w1"); holders < 2 {
		t.Fatalf("acknowledged with %d other holders", holders)
	}
	nodes[0].kill()
	store.SetFaults("", hostedstore.Faults{Silent: true})
	restarted := startNode(t, store, "a1", nodes[0].address)
	mustHeartbeat(t, restarted, heartbeat("w1", 4, false))
	if worker, known := restarted.table.View().Self().Serves("ledger"); known {
		t.Fatalf("%v is offered before the previous incarnation is known", worker)
	}
	testwait.Eventually(t, "the restarted node is ready", restarted.agent.Ready)
	if worker, ready := restarted.workers.Ready("ledger"); ready {
		t.Fatalf("%v gets work after its drain was acknowledged", worker)
	}
}

// TestAcknowledgedDrainOutlastsAllNodes kills every node right after a drain was acknowledged: the
// next incarnations can learn of it only from the store.
func TestAcknowledgedDrainOutlastsAllNodes(t *testing.T) {
	store := newStore()
	nodes := startNodes(t, store, "a1", "b1", "c1")
	mustHeartbeat(t, nodes[0], heartbeat("w1", 3, false))
	mustHeartbeat(t, nodes[0], heartbeat("w1", 5, true))
	for _, node := range nodes {
		node.kill()
	}
	var restarted []*testNode
	for _, node := range nodes {
		restarted = append(restarted, startNode(t, store, node.table.View().Self().ID, node.address))
	}
	mustHeartbeat(t, restarted[0], heartbeat("w1", 4, false))
	testwait.Eventually(t, "the restarted node is ready", restarted[0].agent.Ready)
	if worker, ready := restarted[0].workers.Ready("ledger"); ready {
		t.Fatalf("%v gets work after its drain was acknowledged", worker)
	}
}

// TestPromiseReachesTheStoreLater has the store fail while a drain is acknowledged: the commitment
// has to be written once the store answers again.
func TestPromiseReachesTheStoreLater(t *testing.T) {
	store := newStore()
	nodes := startNodes(t, store, "a1", "b1", "c1")
	mustHeartbeat(t, nodes[0], heartbeat("w1", 3, false))
	store.SetFaults("a1", hostedstore.Faults{Refuse: true})
	before := store.Calls()
	mustHeartbeat(t, nodes[0], heartbeat("w1", 5, true))
	testwait.Eventually(t, "the store was asked", func() bool { return store.Calls() > before })
	store.SetFaults("a1", hostedstore.Faults{})
	testwait.Eventually(t, "the entry has the drain commitment", func() bool {
		return bytes.Contains(store.Entry("a1"), []byte("w1"))
	})
}

func TestPlannedStopIsAnnounced(t *testing.T) {
	store := newStore()
	nodes := startNodes(t, store, "a1", "b1", "c1")
	nodes[0].agent.AnnounceStop(t.Context(), fleet.StateLeaving)
	testwait.Eventually(t, "the others know that it leaves", func() bool {
		for _, other := range nodes[1:] {
			if node, _ := other.table.View().Node("a1"); node.State != fleet.StateLeaving {
				return false
			}
		}
		return true
	})
	nodes[0].agent.AnnounceStop(t.Context(), fleet.StateLeft)
	testwait.Eventually(t, "its entry is gone", func() bool { return store.Entries() == 2 })
}

// TestLeaveThatCannotBeHeldIsRefused guards against an acknowledgement of a leave that changes nothing,
// since another incarnation of the worker is taken for the running one.
func TestLeaveThatCannotBeHeldIsRefused(t *testing.T) {
	node := startNodes(t, newStore(), "a1")[0]
	running, other := heartbeat("w1", 9, false), heartbeat("w1", 9, true)
	running.StartedAt, other.StartedAt = 12_400, 12_000
	mustHeartbeat(t, node, running)
	if err := node.agent.Heartbeat(t.Context(), other); !errorx.IsOfType(err, workers.ErrNotRunning) {
		t.Errorf("a draining heartbeat: %v", err)
	}
	if err := node.agent.Leave(t.Context(), workers.Incarnation{Instance: "w1", StartedAt: 12_000}); !errorx.IsOfType(err, workers.ErrNotRunning) {
		t.Errorf("a sign-off: %v", err)
	}
	if ignored := node.agent.IgnoredCalls().Leaves[workers.IgnoredUnproven]; ignored != 2 {
		t.Errorf("%d leaves are counted as ignored", ignored)
	}
	if _, ready := node.workers.Ready("ledger"); !ready {
		t.Error("the running worker is held")
	}
}

// TestDrainOfAWorkerWithALowerStartTimeOutlastsItsNode kills the node that acknowledged the drain of a
// worker whose crashed incarnation started at a later time of day, and sends late heartbeats of that one
// to the next incarnation of the node.
func TestDrainOfAWorkerWithALowerStartTimeOutlastsItsNode(t *testing.T) {
	store := newStore()
	nodes := startNodes(t, store, "a1", "b1", "c1", "d1")
	crashed, leaving := heartbeat("w1", 1, false), heartbeat("w1", 1, false)
	crashed.StartedAt, leaving.StartedAt = 12_400, 12_000
	mustHeartbeat(t, nodes[0], crashed)
	mustHeartbeat(t, nodes[0], leaving)
	leaving.Sequence, leaving.Draining = 2, true
	mustHeartbeat(t, nodes[0], leaving)
	nodes[0].kill()
	restarted := startNode(t, store, "a1", nodes[0].address)
	crashed.Sequence = 2
	mustHeartbeat(t, restarted, crashed)
	testwait.Eventually(t, "the restarted node is ready", restarted.agent.Ready)
	crashed.Sequence = 3
	mustHeartbeat(t, restarted, crashed)
	if worker, ready := restarted.workers.Ready("ledger"); ready {
		t.Fatalf("%v gets work after its drain was acknowledged", worker)
	}
}
