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
	"github.com/levertide/levertide/internal/settings"
	"github.com/levertide/levertide/internal/suspend"
	"github.com/levertide/levertide/internal/telemetry"
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
	// silentHeartbeats is how many heartbeats may be missing before a worker is
	// taken to be silent.
	silentHeartbeats = 4
	// budgetShare is the share of the retry budget that a node uses of its part. The rest
	// is for what the parts together may exceed it by: 0.12 in the worst window when all
	// nodes restart and forget what they have spent (model of 2 to 2,000 nodes), and
	// calls that workers make for repeated requests where a node has more of these than its part.
	budgetShare = 0.75
	// settleTime is how long a node that has started takes at most to know the others, with
	// which it shares the fixed part of the retry budget: before, it would take the part of all.
	settleTime = 2 * time.Second
	// supervisorTimeout bounds the end of the parts.
	supervisorTimeout = 200 * time.Millisecond
	// stopMargin is what a planned stop leaves of its bound for ending the process.
	stopMargin = 800 * time.Millisecond
	// bitsPerMegabit is the unit of the setting of the link.
	bitsPerMegabit = 1e6
	// farewellTime is how long other nodes are given to turn elsewhere before a
	// node that stops refuses their calls.
	farewellTime = 100 * time.Millisecond
)

// Node is one node in hosted mode.
type Node struct {
	settings settings.Settings
	network  Network
	log      *telemetry.Log
	lines    *telemetry.Queue

	table   *fleet.Table
	workers *workers.Registry
	config  *configuration
	plane   *forwarding.Plane
	agent   *hosted.Agent
	// quarantine is what the node knows of requests that crash workers.
	quarantine *quarantine.Table
	// quotas keeps the limits of tenants.
	quotas   *hosted.Quotas
	callers  *listener
	calls    *listener
	others   []*listener
	stopping atomic.Bool
	// aborted is closed when the node is to end at once.
	aborted   chan struct{}
	abortOnce sync.Once
}

// New opens the listeners and puts the parts together. Nothing runs before Run.
func New(s settings.Settings, adapter Adapter, network Network, log *telemetry.Log, lines *telemetry.Queue) (*Node, error) {
	node := &Node{settings: s, network: network, log: log, lines: lines, aborted: make(chan struct{})}
	lines.Report(log.LinesDropped)
	node.workers = workers.NewRegistry(silentHeartbeats * s.HeartbeatInterval)
	contacts := fleet.NewContacts()
	config := &configuration{translate: adapter.Translate, inForce: log.DocumentInForce, omitted: log.TenantOmitted, former: snapshot.Empty()}
	node.config = config
	if adapter.Suspended == nil {
		adapter.Suspended = suspend.Since
	}
	node.quarantine = quarantine.New(quarantine.Options{})
	registry := telemetry.NewHostedRegistry(node.reading)
	node.table = fleet.NewTable(node.record())
	node.quotas = hosted.NewQuotas(hosted.QuotaConfig{
		Table: node.table, Tolerance: quota.Tolerance{Overage: s.QuotaOverage, Slack: s.QuotaSlack},
		Limited: config.limited.Load, Suspended: adapter.Suspended, Events: log,
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
			Ratio:  s.RetryRatio * budgetShare,
			Slack:  s.RetrySlack * budgetShare,
			// A former life may have spent its part just now.
			SlackFrom: time.Now().Add(settleTime),
			Draw:      rand.Float64,
		},
		LinkSpeed:  s.LinkSpeed * bitsPerMegabit,
		Suspended:  adapter.Suspended,
		Quarantine: node.quarantine,
		Quota:      node.quotas,
		// The agent is there before the first call comes.
		Evidence: func(reports []quarantine.Report) { node.agent.ReportEvidence(reports) },
		Observer: telemetry.NewForwardingObserver(registry.Registerer(), log, lines.Drop),
	})
	messages, err := network.Listen(s.ControlAddress)
	if err != nil {
		return nil, ErrStart.Wrap(err, "listener for messages")
	}
	source, directory, rollouts := adapter.Open(s.StoreAddresses[0], network.Dial)
	source, directory = hosted.Observe(source, directory, telemetry.NewStoreObserver(registry.Registerer()))
	node.agent = hosted.New(hosted.Config{
		Mesh: s.Mesh, FirstStart: s.FirstStart, Table: node.table, Contacts: contacts, Workers: node.workers,
		KnowsService: func(name string) bool { return name == s.Service || config.knows(name) },
		Source:       source, Directory: directory, Consumer: config, Serving: node.plane,
		Rollouts: rollouts, Steering: node.plane,
		Quarantine: node.quarantine, Quotas: node.quotas,
		Probe:    newProbe(s, config, network, adapter),
		Listener: messages, Dial: network.Dial, Events: log,
	})
	return node, node.openListeners(adapter, registry)
}

func (n *Node) openListeners(adapter Adapter, registry *telemetry.Registry) error {
	var err error
	if n.callers, err = listen(n.network, "callers", n.settings.CallerAddress, n.plane.CallerServer()); err != nil {
		return err
	}
	if n.calls, err = listen(n.network, "calls", n.settings.CallAddress, n.plane.HopServer()); err != nil {
		return err
	}
	for _, other := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"registration", n.settings.AdminAddress, adapter.Registration(n.agent)},
		{readinessName, n.settings.ReadinessAddress, adapter.Readiness(n.ready)},
		{metricsName, n.settings.MetricsAddress, registry.Handler()},
	} {
		if other.address == "" {
			continue
		}
		opened, err := listen(n.network, other.name, other.address, newServer(other.handler))
		if err != nil && other.name == metricsName {
			// Calls go on when a foreign program has the port of the metrics.
			n.log.PartFailed(metricsName, err.Error())
			continue
		}
		if err != nil {
			return err
		}
		n.others = append(n.others, opened)
	}
	return nil
}

// record is what the node says of itself when it starts.
func (n *Node) record() fleet.Node {
	return fleet.Node{
		ID:             n.settings.NodeID,
		Incarnation:    uint64(time.Now().UnixNano()),
		Sequence:       1,
		Region:         n.settings.Region,
		Zone:           n.settings.Zone,
		ControlAddress: n.settings.ControlAddress,
		CallAddress:    n.settings.CallAddress,
		State:          fleet.StateLive,
		ReadsStore:     true,
		Capacity:       int(n.settings.Capacity),
	}
}

// ready reports whether callers may come.
func (n *Node) ready() bool { return n.agent.Ready() && !n.stopping.Load() }

// Run runs the node until the context ends, and then stops it as planned. The
// error is nil after a planned stop.
func (n *Node) Run(ctx context.Context, signal func() string) error {
	tuneMemory(n.settings.MemoryLimit)
	n.log.Started(Version, n.settings.Region, n.settings.Zone, n.settings.Service, n.table.View().Self().Incarnation)
	n.log.Listening(n.callers.address, n.calls.address, n.settings.ControlAddress, n.settings.AdminAddress)
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
	case <-ctx.Done():
	}
	n.log.StopRequested(signal())
	n.stop()
	n.log.Stopped()
	cancel()
	if err := <-ended; err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// Abort ends the node at once, without a word to anybody, as a crash does. It is
// for tests and the lab.
func (n *Node) Abort() { n.abortOnce.Do(func() { close(n.aborted) }) }

// Addresses returns where callers and the readiness question go.
func (n *Node) Addresses() (callers, readiness string) {
	for _, other := range n.others {
		if other.name == readinessName {
			readiness = other.address
		}
	}
	return n.callers.address, readiness
}

func (n *Node) supervisor() *suture.Supervisor {
	supervisor := suture.New("levertided", suture.Spec{
		EventHook:         n.partEvent,
		PassThroughPanics: true,
		Timeout:           supervisorTimeout,
	})
	supervisor.Add(n.lines)
	supervisor.Add(n.agent)
	supervisor.Add(n.callers)
	supervisor.Add(n.calls)
	for _, other := range n.others {
		supervisor.Add(other)
	}
	return supervisor
}

func (n *Node) partEvent(event suture.Event) {
	if failed, ok := event.(suture.EventServiceTerminate); ok {
		text, _ := failed.Map()["error"].(string)
		n.log.PartFailed(failed.ServiceName, text)
	}
}
