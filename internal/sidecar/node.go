package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/levertide/levertide/internal/forwarding"
	"github.com/levertide/levertide/internal/hosted"
	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/internal/intake"
	"github.com/levertide/levertide/internal/settings"
	"github.com/levertide/levertide/internal/suspend"
	"github.com/levertide/levertide/internal/telemetry"
	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/endpoint"
	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/quarantine"
	"github.com/levertide/levertide/pkg/quota"
	"github.com/levertide/levertide/pkg/retry"
	"github.com/levertide/levertide/pkg/snapshot"
	"github.com/levertide/levertide/pkg/workers"
)

// Names of listeners.
const (
	readinessName = "readiness"
	metricsName   = "metrics"
)

const (
	// unresponsiveHeartbeats is how many heartbeats may be missing before a worker counts
	// as unresponsive.
	unresponsiveHeartbeats = 4
	// retryBudgetShare is the share that a node uses of its part of the retry budget. The rest
	// is a margin for what all parts together may exceed the budget by: 0.12 in the worst window
	// when all nodes restart and lose the record of what they have spent (model of 2 to 2,000
	// nodes), and the nested calls that workers make for retried requests where a node has more
	// of these than its part.
	retryBudgetShare = 0.75
	// settleTime is how long a node that has started takes at most to learn of the others, with
	// which it shares the fixed part of the retry budget: before that, it would use the parts of
	// all nodes.
	settleTime = 2 * time.Second
	// supervisorTimeout bounds how long the supervisor waits for its services to end.
	supervisorTimeout = 200 * time.Millisecond
	// stopMargin is the time before the end of drain-bound that a planned stop reserves for ending
	// the process.
	stopMargin = 800 * time.Millisecond
	// bitsPerMegabit converts the setting of the link's speed, which is in Mbit/s.
	bitsPerMegabit = 1e6
	// rerouteTime is how long other nodes are given to route calls elsewhere before a stopping
	// node refuses them.
	rerouteTime = 100 * time.Millisecond
)

// Node is one node in hosted mode.
type Node struct {
	settings settings.Settings
	network  Network
	log      *telemetry.Log
	logQueue *telemetry.Queue

	table   *fleet.Table
	workers *workers.Registry
	config  *configuration
	plane   *forwarding.Plane
	agent   *hosted.Agent
	// quarantine is what the node knows of requests that crash workers.
	quarantine *quarantine.Table
	// quotas enforces the limits of tenants.
	quotas *hosted.Quotas
	// messages and auxiliary count the connections of the listeners that are not for calls.
	messages  *intake.Ledger
	auxiliary []*intake.Ledger
	plan      intake.Plan
	bounds    *boundLog
	panics    *telemetry.Panics

	callerListener     *listener
	hopListener        *listener
	auxiliaryListeners []*listener
	stopping           atomic.Bool
	// aborted is closed when the node must end at once.
	aborted   chan struct{}
	abortOnce sync.Once
}

// New opens the listeners and assembles the parts of a node. Nothing runs before Run.
func New(s settings.Settings, adapter Adapter, network Network, log *telemetry.Log, logQueue *telemetry.Queue) (*Node, error) {
	node := &Node{settings: s, network: network, log: log, logQueue: logQueue, aborted: make(chan struct{})}
	logQueue.OnDropped(log.LinesDropped)
	node.plan = intake.NewPlan(s.MemoryLimit, s.DescriptorLimit)
	node.bounds = newBoundLog(log)
	node.panics = telemetry.NewPanics(log, node.inFlight)
	node.messages = intake.New("messages", node.plan.Messages, node.bounds.reached)
	node.workers = workers.NewRegistry(unresponsiveHeartbeats * s.HeartbeatInterval)
	contacts := fleet.NewContacts()
	config := &configuration{translate: adapter.Translate, onInForce: log.DocumentInForce, onOmitted: log.TenantOmitted, snapshot: snapshot.Empty()}
	node.config = config
	if adapter.Suspended == nil {
		adapter.Suspended = suspend.Since
	}
	node.quarantine = quarantine.New(quarantine.Options{})
	registry := telemetry.NewHostedRegistry(node.panics, metricsName, node.reading)
	record, err := node.initialRecord()
	if err != nil {
		return nil, err
	}
	node.table = fleet.NewTable(record)
	node.quotas = hosted.NewQuotas(hosted.QuotaConfig{
		Table: node.table, Tolerance: quota.Tolerance{Overage: s.QuotaOverage, Slack: s.QuotaSlack},
		Limited: config.hasTenantLimits.Load, Suspended: adapter.Suspended, Events: log,
	})
	node.plane = forwarding.New(forwarding.Config{
		Node:     s.NodeID,
		Zone:     s.Zone,
		Service:  s.Service,
		Dialect:  adapter.Dialect,
		Current:  config.current.Load,
		View:     node.table.View,
		Contacts: contacts,
		Workers:  node.workers,
		Dial:     network.Dial,
		Retries: retry.WindowOptions{
			Window: s.RetryWindow,
			Ratio:  s.RetryRatio * retryBudgetShare,
			Slack:  s.RetrySlack * retryBudgetShare,
			// The previous incarnation may have spent its part just before.
			SlackFrom: time.Now().Add(settleTime),
			Draw:      rand.Float64,
		},
		LinkSpeed:     s.LinkSpeed * bitsPerMegabit,
		Intake:        node.plan,
		IntakeReached: node.bounds.reached,
		Panicked:      node.panics.Report,
		Suspended:     adapter.Suspended,
		Quarantine:    node.quarantine,
		Quota:         node.quotas,
		// The agent is set below, before the first call can arrive.
		Evidence: func(reports []quarantine.Report) { node.agent.ReportEvidence(reports) },
		Leaving:  func(incarnation workers.Incarnation) { node.agent.WorkerLeaving(incarnation) },
		Observer: telemetry.NewForwardingObserver(registry.Registerer(), log, logQueue.Drop),
	})
	controlListener, err := network.Listen(s.ControlAddress)
	if err != nil {
		return nil, ErrStart.Wrap(err, "listener for messages between nodes")
	}
	source, directory, rollouts := adapter.Open(s.StoreAddresses[0], network.Dial)
	source, directory = hosted.Observe(source, directory, telemetry.NewStoreObserver(registry.Registerer()), node.panics.Report)
	node.agent = hosted.New(hosted.Config{
		Mesh: s.Mesh, FirstStart: s.FirstStart, Table: node.table, Contacts: contacts, Workers: node.workers,
		MayBeBeside: func(service string) bool {
			// A late heartbeat may be of a worker that had the address before, of another service.
			return service == s.Service || s.Service == "" && config.knowsService(service)
		},
		WorkerAddress: workerAddress(s),
		Source:        source, Directory: directory, Consumer: config, Serving: node.plane,
		Rollouts: rollouts, Steering: node.plane,
		Quarantine: node.quarantine, Quotas: node.quotas,
		Probe:    newProbe(s, config, network, adapter),
		Listener: controlListener, Connections: node.messages, Dial: network.Dial, Events: log,
		Panicked: node.panics.Report,
	})
	return node, node.openListeners(adapter, registry)
}

func (n *Node) openListeners(adapter Adapter, registry *telemetry.Registry) error {
	var err error
	if n.callerListener, err = listen(n.network, "callers", n.settings.CallerAddress, n.plane.CallerServer()); err != nil {
		return err
	}
	httpconn.BoundBacklog(n.callerListener.initial, n.plan.Backlog)
	if n.hopListener, err = listen(n.network, "calls", n.settings.CallAddress, n.plane.HopServer()); err != nil {
		return err
	}
	for _, auxiliary := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"registration", n.settings.AdminAddress, adapter.Registration(n.agent)},
		{readinessName, n.settings.ReadinessAddress, adapter.Readiness(n.ready)},
		{metricsName, n.settings.MetricsAddress, registry.Handler()},
	} {
		if auxiliary.address == "" {
			continue
		}
		ledger := intake.New(auxiliary.name, n.plan.Auxiliary, n.bounds.reached)
		n.auxiliary = append(n.auxiliary, ledger)
		opened, err := listen(n.network, auxiliary.name, auxiliary.address, intake.Guard(newServer(n.contained(auxiliary.name, auxiliary.handler)), ledger))
		if err != nil && auxiliary.name == metricsName {
			// The node serves calls also when another program occupies the port of the metrics.
			n.log.PartFailed(metricsName, err.Error())
			continue
		}
		if err != nil {
			return err
		}
		n.auxiliaryListeners = append(n.auxiliaryListeners, opened)
	}
	return nil
}

// contained returns a handler whose panics end single connections.
func (n *Node) contained(listener string, handler http.Handler) http.Handler {
	return contain.Handler(listener, n.panics.Report, handler)
}

// inFlight returns how many calls of callers and of other nodes the node holds.
func (n *Node) inFlight() int64 {
	calls, hops := n.plane.InFlight()
	return calls + hops
}

// initialRecord returns the node's own record in the table of nodes when it starts.
// Its addresses are those of the settings, at which other nodes must be able to reach it.
func (n *Node) initialRecord() (fleet.Node, error) {
	control, err := endpoint.Parse(n.settings.ControlAddress)
	if err != nil {
		return fleet.Node{}, ErrStart.Wrap(err, "address for messages between nodes")
	}
	call, err := endpoint.Parse(n.settings.CallAddress)
	if err != nil {
		return fleet.Node{}, ErrStart.Wrap(err, "address for calls of other nodes")
	}
	return fleet.Node{
		ID:             n.settings.NodeID,
		Incarnation:    uint64(time.Now().UnixNano()),
		Sequence:       fleet.FirstSequence,
		Region:         n.settings.Region,
		Zone:           n.settings.Zone,
		ControlAddress: control,
		CallAddress:    call,
		State:          fleet.StateLive,
		ReadsStore:     true,
		Capacity:       int(n.settings.Capacity),
	}, nil
}

// ready reports whether the node accepts calls.
func (n *Node) ready() bool { return n.agent.Ready() && !n.stopping.Load() }

// Run runs the node until the context ends, and then stops it as planned. The
// error is nil after a planned stop. After a panic that may have left shared state
// half changed, the node stops like that by itself, and the error is an ErrPanicked.
func (n *Node) Run(ctx context.Context, signal func() string) error {
	limitHeap(n.settings.MemoryLimit)
	n.log.Started(Version, n.settings.Region, n.settings.Zone, n.settings.Service, n.table.View().Self().Incarnation)
	n.log.Listening(n.callerListener.address, n.hopListener.address, n.settings.ControlAddress, n.settings.AdminAddress)
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := n.supervisor().ServeBackground(running)
	select {
	case err := <-ended:
		return err
	case <-n.aborted:
		cancel()
		<-ended
		return nil
	case <-n.panics.HalfChanged():
		n.log.StopRequested("panic")
	case <-ctx.Done():
		n.log.StopRequested(signal())
	}
	n.containStep(n.stop)
	n.log.Stopped()
	cancel()
	if err := <-ended; err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	if n.panics.MayBeHalfChanged() {
		return ErrPanicked.New("a panic may have left shared state half changed")
	}
	return nil
}

// Abort ends the node at once and without notifying anybody, as a crash does. It is
// for tests and the lab.
func (n *Node) Abort() { n.abortOnce.Do(func() { close(n.aborted) }) }

// Addresses returns the addresses for callers and for the readiness check.
func (n *Node) Addresses() (callers, readiness string) {
	for _, auxiliary := range n.auxiliaryListeners {
		if auxiliary.name == readinessName {
			readiness = auxiliary.address
		}
	}
	return n.callerListener.address, readiness
}

// newSupervisor returns a supervisor without parts. One that ends with an error is started again.
func (n *Node) newSupervisor() *suture.Supervisor {
	return suture.New("levertided", suture.Spec{
		EventHook:         hosted.OnPartFailure(n.log.PartFailed),
		PassThroughPanics: true,
		Timeout:           supervisorTimeout,
	})
}

func (n *Node) supervisor() *suture.Supervisor {
	supervisor := n.newSupervisor()
	add := func(part contain.Server) { supervisor.Add(contain.NewService(part, n.panics.Report)) }
	add(n.logQueue)
	add(n.agent)
	add(n.callerListener)
	add(n.hopListener)
	for _, auxiliary := range n.auxiliaryListeners {
		add(auxiliary)
	}
	if n.settings.MemoryLimit > 0 {
		add(&memoryWatch{log: n.log, limit: uint64(n.settings.MemoryLimit) * bytesPerMebibyte, inFlight: n.inFlight})
	}
	return supervisor
}
