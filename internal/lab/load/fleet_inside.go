package load

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/levertide/levertide/internal/dataplane"
	"github.com/levertide/levertide/internal/lab/process"
	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/snapshot"
)

// insideFleet runs data planes inside the lab's process. All of them share one snapshot and one
// node directory.
type insideFleet struct {
	noRetryBudget bool
	current       atomic.Pointer[snapshot.Snapshot]
	view          atomic.Pointer[membership.View]

	mutex sync.Mutex
	table *membership.Table
	nodes []*insideNode
}

func newInsideFleet(noRetryBudget bool) *insideFleet {
	f := &insideFleet{noRetryBudget: noRetryBudget, table: membership.NewTable()}
	f.view.Store(f.table.View())
	return f
}

// insideNode is one data plane with its servers for callers and for other nodes.
type insideNode struct {
	fleet   *insideFleet
	record  membership.Record
	plane   *dataplane.Plane
	callers *http.Server
	peers   *http.Server
	address string
}

func (f *insideFleet) start(_ context.Context, spec nodeSpec) (node, error) {
	callerListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, ErrStart.Wrap(err, "listen for callers")
	}
	peerListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, ErrStart.Wrap(err, "listen for other nodes")
	}
	plane, err := dataplane.New(dataplane.Config{
		Node: spec.id, Region: region, Zone: spec.zone,
		Service: spec.service, WorkerAddress: spec.worker,
		Current: f.current.Load, Directory: f.view.Load,
		NoRetryBudget: f.noRetryBudget,
	})
	if err != nil {
		return nil, ErrStart.Wrap(err, "create node %s", spec.id)
	}
	n := &insideNode{
		fleet: f, plane: plane, address: callerListener.Addr().String(),
		callers: plane.CallerServer(), peers: plane.PeerServer(),
		record: membership.Record{
			ID: spec.id, Incarnation: uint64(time.Now().UnixNano()), Region: region, Zone: spec.zone,
			Service: spec.service, CallAddress: peerListener.Addr().String(),
		},
	}
	go func() { _ = n.callers.Serve(callerListener) }()
	go func() { _ = n.peers.Serve(peerListener) }()
	f.announce(n.record)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.nodes = append(f.nodes, n)
	return n, nil
}

func (f *insideFleet) announce(record membership.Record) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.table.Merge(record)
	f.view.Store(f.table.View())
}

func (f *insideFleet) apply(_ context.Context, resources []model.Resource) error {
	version := uint64(1)
	if current := f.current.Load(); current != nil {
		version = current.Version() + 1
	}
	next, err := snapshot.New(version, resources)
	if err != nil {
		return ErrStart.Wrap(err, "build the snapshot")
	}
	f.current.Store(next)
	return nil
}

func (f *insideFleet) settle(context.Context) error { return nil }

func (f *insideFleet) close() {
	f.mutex.Lock()
	nodes := f.nodes
	f.nodes = nil
	f.mutex.Unlock()
	for _, n := range nodes {
		n.end()
	}
}

func (n *insideNode) callerAddress() string          { return n.address }
func (n *insideNode) usage() (process.Usage, bool)   { return process.Usage{}, false }
func (n *insideNode) memory() (uint64, uint64, bool) { return 0, 0, false }

// end closes the listeners and every connection.
func (n *insideNode) end() {
	_ = n.callers.Close()
	_ = n.peers.Close()
	n.plane.Close()
}

func (n *insideNode) kill() {
	n.end()
	n.fleet.announce(n.record.With(membership.StateLost))
}

// stop marks the node as leaving, drains it and closes its listeners.
func (n *insideNode) stop(bound time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	n.fleet.announce(n.record.With(membership.StateLeaving))
	report := n.plane.Drain(ctx)
	ended := n.callers.Shutdown(ctx) == nil && n.peers.Shutdown(ctx) == nil
	n.end()
	return ended && report.Clean()
}
