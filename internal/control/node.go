package control

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/lease"
	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/snapshot"
	"github.com/levertide/levertide/pkg/topology"
	"github.com/levertide/levertide/pkg/versionstore"
)

// partName names the engine in events.
const partName = "control"

// Node is one engine. Its methods are safe for concurrent use.
type Node struct {
	config  Config
	events  Events
	traffic *Traffic
	shared  *Shared
	clients *peerClients
	// versions and lessor are nil when the node has no store.
	versions *versionstore.VersionStore
	lessor   lease.Lessor

	started atomic.Bool
	// serving ends when the node stops; background holds short-lived calls.
	serving    context.Context
	background sync.WaitGroup

	current   atomic.Pointer[snapshot.Snapshot]
	directory atomic.Pointer[membership.View]
	// observers wakes the rest of the process, waiters the children's polls,
	// loop the node's own loop.
	observers broadcast
	waiters   broadcast
	loop      chan struct{}

	floorCalls   nextFlight[floorAnswer]
	largeAnswers *answerLimiter

	mutex       contain.Mutex
	self        membership.Record
	participant *rollout.Participant
	feed        feed
	table       *tableState
	children    children
	upstream    upstream
	plan        plan
	reports     reportState
	reader      readerState
	coordinator coordinatorState
	sweeping    sweepState
	storeState  storeState
	floor       floorState
	reported    reportedVersions
	outsideTree outsideTree
	discovery   backoff
	alarms      []string
	// bootstrapped is set once the search for other nodes that precedes the first
	// plan has ended.
	bootstrapped bool
	catchingUp   bool
	stopped      bool
	// inForceEverywhere is the time since which every live node runs inForceVersion.
	inForceEverywhere time.Time
	inForceVersion    rollout.Version
}

// New returns a node that does nothing until Serve. It returns ErrConfig if the
// configuration is invalid.
func New(config Config) (*Node, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	config = config.withDefaults()
	node := &Node{
		config:       config,
		events:       config.Events,
		traffic:      config.Traffic,
		shared:       config.Shared,
		self:         config.Self,
		loop:         make(chan struct{}, 1),
		largeAnswers: newAnswerLimiter(),
	}
	node.floorCalls.panicked = config.Panicked
	node.clients = newPeerClients(config)
	node.openStore()
	node.participant = rollout.NewParticipant(rollout.ParticipantOptions{
		Node:     config.Self.ID,
		Validate: config.Validate,
	})
	node.feed = newFeed(node.ownScope())
	node.table = newTableState(config.Shared.interner, node.self)
	node.children = newChildren()
	node.plan = newPlan()
	node.reports = newReportState()
	node.floor.reason = reasonStarting
	node.discovery = backoff{base: discoveryBackoffBase, ceiling: discoveryBackoffCeiling}
	node.serving = context.Background()
	node.directory.Store(node.table.View())
	return node, nil
}

// String returns the name of the engine in events.
func (n *Node) String() string { return partName }

// ID returns the node's identifier.
func (n *Node) ID() string { return n.config.Self.ID }

// Current returns the snapshot in force, or nil when there is none yet. Its
// version never decreases while the process runs.
func (n *Node) Current() *snapshot.Snapshot { return n.current.Load() }

// Directory returns the members that the node knows.
func (n *Node) Directory() *membership.View { return n.directory.Load() }

// Subscribe returns a channel that is closed at the next change of Current,
// Directory or Readiness. Call it before reading them, and again after each change.
func (n *Node) Subscribe() <-chan struct{} { return n.observers.wait() }

// Readiness reports whether the node may accept calls, and if not, why.
func (n *Node) Readiness() (ready bool, reason string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	state := n.participant.State()
	if !state.FloorKnown {
		return false, n.floor.reason
	}
	return state.Ready, state.Reason
}

// SetLeaving announces to all other nodes that this one finishes its calls and
// accepts no new ones. It cannot be reversed.
func (n *Node) SetLeaving() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.self.State == membership.StateLeaving {
		return
	}
	n.self.State = membership.StateLeaving
	n.announceSelf()
	n.kick()
}

// Role returns the node's current role.
func (n *Node) Role() Role { return n.traffic.Role() }

// Counters are running totals of a node.
type Counters struct {
	// ByRole holds the control bytes transferred in each Role.
	ByRole [roleCount]TrafficCount
	// StoreRequests counts the calls made to the store.
	StoreRequests uint64
}

// Counters returns the totals so far.
func (n *Node) Counters() Counters {
	var counters Counters
	for role := range roleCount {
		counters.ByRole[role] = n.traffic.Count(role)
	}
	if n.versions != nil {
		counters.StoreRequests = n.versions.Requests()
	}
	return counters
}

// Status returns the state of the whole system as the coordinator sees it, or as
// this node sees it when no coordinator can be reached.
func (n *Node) Status(ctx context.Context) *controlpb.StatusResponse {
	return n.status(ctx, maximumStatusHops)
}

// Handler returns the handler of the control listener.
func (n *Node) Handler() http.Handler { return n.controlHandler() }

// Tree describes the node's place in the distribution tree.
type Tree struct {
	Role   topology.Role
	Parent string
	// Path lists the nodes from the parent up to the root.
	Path     []string
	Children []string
	Root     bool
}

// Tree returns the node's place.
func (n *Node) Tree() Tree {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return Tree{
		Role:     n.plan.assignment.Role,
		Parent:   n.upstream.parent.ID,
		Path:     append([]string(nil), n.upstream.path...),
		Children: n.children.ids(),
		Root:     n.upstream.root,
	}
}

// kick makes the loop perform a step soon.
func (n *Node) kick() {
	select {
	case n.loop <- struct{}{}:
	default:
	}
}

// now returns the time of the engine's clock.
func now() time.Time { return time.Now() }
