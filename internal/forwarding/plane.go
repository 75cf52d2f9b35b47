package forwarding

import (
	"context"
	"io"
	"log"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/levertide/levertide/internal/pipeline"
	"github.com/levertide/levertide/pkg/quarantine"
	"github.com/levertide/levertide/pkg/retry"
	"github.com/levertide/levertide/pkg/slotqueue"
	"github.com/levertide/levertide/pkg/workers"
)

// Plane carries the calls of one node. Use New.
type Plane struct {
	config Config
	// started is when the process has started.
	started time.Time
	peers   *http.Transport
	local   localWorkers
	routes  routeStates
	memory  bodyMemory
	// transfers admits long bodies of other nodes to the link of this one.
	transfers *slotqueue.Queue
	// refusedTransfers counts those that got no turn on it.
	refusedTransfers atomic.Uint64
	// pace bounds how fast long bodies go to other nodes; nil sets no bound.
	pace *rate.Limiter

	// running are the calls that workers beside this node run.
	running runningCalls
	// tenantsSince is since when callers are authenticated.
	tenantsSince tenantsSince
	// refusals are the callers that were told to come back.
	refusals refusals

	// steering are the decisions on moves of services to other versions.
	steering atomic.Pointer[steeringTable]

	mutex        sync.Mutex
	destinations map[string]*destination

	// open is set once the node knows what a former life of it has promised.
	open atomic.Bool
	// leaving is set when callers are asked to close their connections, stopping
	// when the node takes no more calls from other nodes.
	leaving  atomic.Bool
	stopping atomic.Bool
	calls    atomic.Int64
	hops     atomic.Int64
}

// New returns a Plane.
func New(config Config) *Plane {
	if config.Observer == nil {
		config.Observer = noObserver{}
	}
	if config.Quarantine == nil {
		config.Quarantine = quarantine.New(quarantine.Options{})
	}
	if config.Suspended == nil {
		config.Suspended = func(time.Time) time.Duration { return 0 }
	}
	if config.Evidence == nil {
		config.Evidence = func([]quarantine.Report) {}
	}
	p := &Plane{
		config:       config,
		started:      time.Now(),
		peers:        newTransport(config.Dial, peerIdle, idleConnections),
		transfers:    slotqueue.New(parallelTransfers),
		pace:         linkPace(config.LinkSpeed),
		destinations: map[string]*destination{},
	}
	p.local = localWorkers{plane: p, connections: map[string]*workerConnection{}}
	p.routes.states = map[string]*routeState{}
	return p
}

// destination returns what is known of a service, up to date with the nodes.
func (p *Plane) destination(service string) *destination {
	p.mutex.Lock()
	d, known := p.destinations[service]
	if !known {
		d = &destination{
			service:          service,
			self:             p.config.Node,
			zone:             p.config.Zone,
			budget:           retry.NewWindowBudget(p.config.Retries),
			additionalOffers: newAdditionalOffers(),
		}
		p.destinations[service] = d
	}
	p.mutex.Unlock()
	view, steering := p.config.View(), p.steering.Load()
	if view != d.view.Load() || steering != d.steering.Load() {
		d.refresh(view, steering)
		d.budget.SetSlack(p.config.Retries.Slack / float64(max(len(view.Nodes()), 1)))
	}
	return d
}

// localLoad returns the load of this node's worker of a service.
func (p *Plane) localLoad(service string) (slotqueue.Load, bool) {
	connection, err := p.local.find(service, workers.Incarnation{})
	if err != nil || connection.paused() {
		return slotqueue.Load{}, false
	}
	return connection.load(), true
}

// WorkerLoad returns the load of all workers beside this node together.
func (p *Plane) WorkerLoad() slotqueue.Load { return p.local.load() }

// Transfers returns the long bodies that cross to this node, and those that wait.
func (p *Plane) Transfers() slotqueue.Load { return p.transfers.Load() }

// RefusedTransfers returns how many long bodies of other nodes got no turn on the link of
// this one.
func (p *Plane) RefusedTransfers() uint64 { return p.refusedTransfers.Load() }

// serviceHere is the service that the calls of this node begin at.
func (p *Plane) serviceHere() string {
	if service := p.config.Workers.Service(); service != "" {
		return service
	}
	return p.config.Service
}

// left returns the time that is left until an end, of what began at this node at the given
// time. A machine may have been suspended meanwhile: without that, workers would be given
// time that the caller has not.
func (p *Plane) left(began, end time.Time) time.Duration {
	return time.Until(end) - p.config.Suspended(began)
}

// CallerServer returns a server for callers. It listens on nothing by itself.
func (p *Plane) CallerServer() *pipeline.Server {
	return pipeline.New(pipeline.Config{
		Handler:           http.HandlerFunc(p.serveCaller),
		MaxPipelined:      maximumPipelined,
		MaxHeaderBytes:    maximumHeaderBytes,
		ReadHeaderTimeout: readHeaderTime,
		IdleTimeout:       callerIdle,
	})
}

// HopServer returns a server for other nodes. What they say is trusted.
func (p *Plane) HopServer() *http.Server {
	return &http.Server{
		Handler:                      http.HandlerFunc(p.serveHop),
		ReadHeaderTimeout:            readHeaderTime,
		IdleTimeout:                  peerServerIdle,
		MaxHeaderBytes:               2 * maximumHeaderBytes,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     log.New(io.Discard, "", 0),
	}
}

// Open lets the workers beside this node be given work. Before, the node may not
// know which of them a former life of it has promised to leave alone.
func (p *Plane) Open() { p.open.Store(true) }

// Leave has the node ask callers to close their connections.
func (p *Plane) Leave() { p.leaving.Store(true) }

// Stop has the node refuse calls from other nodes as not-run. Calls in flight and
// calls of callers go on, to workers beside other nodes.
func (p *Plane) Stop() { p.stopping.Store(true) }

// InFlight returns the calls from callers and from other nodes in flight.
func (p *Plane) InFlight() (calls, hops int64) { return p.calls.Load(), p.hops.Load() }

// WaitIdle waits until no call is in flight, or for the context to end.
func (p *Plane) WaitIdle(ctx context.Context) error {
	const interval = 20 * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for p.calls.Load()+p.hops.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Close ends the unused connections.
func (p *Plane) Close() { p.peers.CloseIdleConnections() }
