package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/snapshot"
	"github.com/levertide/levertide/pkg/store/memory"
	"github.com/levertide/levertide/pkg/versionstore"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const waitLimit = 30 * time.Second

// mesh runs nodes in this process over one store.
type mesh struct {
	t     testing.TB
	store *memory.Store
	down  atomic.Bool
	// gate blocks reads of single records until it is released; nil blocks none.
	gate     atomic.Pointer[gate]
	versions *versionstore.VersionStore
	shared   *Shared
	mutex    sync.Mutex
	nodes    map[string]*running
	cut      map[string]bool
	name     string
	open     map[string][]net.Conn
}

// gate blocks reads.
type gate struct {
	// waiting receives a token when a read waits for released to be closed.
	waiting  chan struct{}
	released chan struct{}
}

// pass returns once the gate is released.
func (g *gate) pass() {
	if g == nil {
		return
	}
	select {
	case g.waiting <- struct{}{}:
	default:
	}
	<-g.released
}

type running struct {
	node    *Node
	stop    context.CancelFunc
	done    chan struct{}
	address string
	record  membership.Record
}

func newMesh(t testing.TB) *mesh {
	m := &mesh{t: t, name: fmt.Sprintf("test-%d", rand.Uint64()), shared: NewShared(), nodes: map[string]*running{}, cut: map[string]bool{}, open: map[string][]net.Conn{}}
	m.store = memory.New(memory.Options{Intercept: func(request memory.Request) memory.Fault {
		if request.Kind == memory.RequestGet {
			m.gate.Load().pass()
		}
		if m.down.Load() {
			return memory.FaultRefuse
		}
		return memory.FaultNone
	}})
	m.versions = versionstore.New(versionstore.Config{Store: m.store})
	t.Cleanup(func() {
		for _, id := range m.ids() {
			m.kill(id)
		}
	})
	return m
}

func (m *mesh) ids() []string {
	var ids []string
	for id := range m.nodes {
		ids = append(ids, id)
	}
	return ids
}

// dial refuses connections from and to nodes that are cut off.
func (m *mesh) dial(from string) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		m.mutex.Lock()
		refused := m.cut[from] || m.cut[address]
		m.mutex.Unlock()
		if refused {
			return nil, fmt.Errorf("cut off")
		}
		connection, err := newDialer().DialContext(ctx, network, address)
		if err == nil {
			m.mutex.Lock()
			m.open[from] = append(m.open[from], connection)
			m.open[address] = append(m.open[address], connection)
			m.mutex.Unlock()
		}
		return connection, err
	}
}

// setCut breaks the connections of a node and refuses new ones.
func (m *mesh) setCut(run *running, cut bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.cut[run.address] = cut
	for _, connection := range m.open[run.address] {
		_ = connection.Close()
	}
}

// start runs a node; configure may change its configuration.
func (m *mesh) start(id, zone, service string, configure ...func(*Config)) *Node {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		m.t.Fatal(err)
	}
	address := listener.Addr().String()
	config := Config{
		Self: membership.Record{
			ID: id, Region: "nl", Zone: zone, Service: service, ControlAddress: address,
		},
		Seeds:    m.seeds(),
		FanOut:   2,
		Mesh:     m.name,
		Listener: listener,
		Dial:     m.dial(address),
		Store:    m.store,
		Shared:   m.shared,
	}
	for _, change := range configure {
		change(&config)
	}
	node, err := New(config)
	if err != nil {
		m.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	run := &running{node: node, stop: cancel, done: make(chan struct{}), address: address, record: config.Self}
	go func() {
		defer close(run.done)
		_ = node.Serve(ctx)
	}()
	m.nodes[id] = run
	return node
}

func (m *mesh) seeds() []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, run := range m.nodes {
		if seeds = append(seeds, netip.MustParseAddrPort(run.address)); len(seeds) == 3 {
			break
		}
	}
	return seeds
}

// startZones runs count nodes in each of two zones.
func (m *mesh) startZones(count int, configure ...func(*Config)) {
	for index := range count {
		for _, zone := range []string{"a", "b"} {
			m.start(fmt.Sprintf("%s%d", zone, index), zone, "ledger", configure...)
		}
	}
}

func (m *mesh) kill(id string) {
	run := m.nodes[id]
	delete(m.nodes, id)
	run.stop()
	<-run.done
}

func (m *mesh) all(predicate func(*Node) bool) func() bool {
	return func() bool {
		for _, run := range m.nodes {
			if !predicate(run.node) {
				return false
			}
		}
		return true
	}
}

func runs(version rollout.Version) func(*Node) bool {
	return func(node *Node) bool {
		current := node.Current()
		return current != nil && current.Version() == version
	}
}

func ready(node *Node) bool {
	isReady, _ := node.Readiness()
	return isReady
}

func knows(count int) func(*Node) bool {
	return func(node *Node) bool { return node.Directory().Len() == count }
}

// eventually waits until the condition holds.
func (m *mesh) eventually(what string, condition func() bool) {
	m.t.Helper()
	deadline := time.Now().Add(waitLimit)
	for !condition() {
		if time.Now().After(deadline) {
			m.describe()
			m.t.Fatalf("not in time: %s", what)
		}
		<-time.After(2 * time.Millisecond)
	}
}

func (m *mesh) describe() {
	for id, run := range m.nodes {
		isReady, reason := run.node.Readiness()
		tree := run.node.Tree()
		version := uint64(0)
		if current := run.node.Current(); current != nil {
			version = current.Version()
		}
		var known []string
		for _, record := range run.node.Directory().Live() {
			known = append(known, record.ID)
		}
		m.t.Logf("%s: version %d, ready %v (%s), %s under %q path %v children %v, knows %v, root %v, role %s",
			id, version, isReady, reason, tree.Role, tree.Parent, tree.Path, tree.Children, known, tree.Root, run.node.Role())
		m.t.Logf("%s: %s", id, describeChildren(run.node))
	}
}

// describeChildren describes the nodes that a node holds as below it, and the
// deadlines of members outside its tree.
func describeChildren(n *Node) string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var text strings.Builder
	for id, held := range n.children.byID {
		newest, _ := n.table.Get(id)
		fmt.Fprintf(&text, "child %s attachment %d (newest %d) polls %d, seen %v ago, away %v; ",
			id, held.record.Attachment, newest.Attachment, held.polls, now().Sub(held.lastPollAt), held.disconnected)
	}
	for id, through := range n.children.via {
		newest, _ := n.table.Get(id)
		fmt.Fprintf(&text, "%s (attachment %d) by %s; ", id, newest.Attachment, through)
	}
	for id, deadline := range n.outsideTree.deadlines {
		fmt.Fprintf(&text, "outside the tree: %s, lost in %v; ", id, deadline.Sub(now()))
	}
	return text.String()
}

// fileSet returns a set of resources that differs by its mark.
func fileSet(mark string) []model.Resource {
	return []model.Resource{
		{
			Key:     model.Key{Kind: model.KindService, Name: "ledger"},
			Service: &model.Service{Calls: []string{}, Slots: 6, Connections: 130},
		},
		{
			Key:   model.Key{Kind: model.KindRoute, Name: "ledger-all"},
			Route: &model.Route{Match: model.Match{Host: mark + ".example", PathPrefix: "/"}, Service: "ledger"},
		},
	}
}

// propose proposes a set of resources based on the committed version.
func (m *mesh) propose(mark string) rollout.Version {
	m.t.Helper()
	head, _, err := m.versions.ReadHead(context.Background(), true)
	if err != nil {
		m.t.Fatal(err)
	}
	result, err := m.versions.Propose(context.Background(), versionstore.ProposeRequest{
		ApplyID: "apply-" + mark, Operator: "test", Base: head.Committed, Resources: fileSet(mark),
	})
	if err != nil {
		m.t.Fatal(err)
	}
	return result.Version
}

func (m *mesh) head() rollout.Head {
	head, _, err := m.versions.ReadHead(context.Background(), true)
	if err != nil {
		m.t.Fatal(err)
	}
	return head
}

func refuseAll(*snapshot.Snapshot) error { return ErrMalformed.New("this node refuses all versions") }
