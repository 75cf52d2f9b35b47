package forwarding

import (
	"cmp"
	"context"
	"io"
	"log"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/levertide/levertide/internal/intake"
	"github.com/levertide/levertide/internal/pipeline"
	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/quarantine"
	"github.com/levertide/levertide/pkg/retry"
	"github.com/levertide/levertide/pkg/slotqueue"
	"github.com/levertide/levertide/pkg/workers"
)

// Plane forwards the calls of one node. Use New.
type Plane struct {
	config Config
	// started is when the process started.
	started time.Time
	peers   *http.Transport
	local   localWorkers
	routes  routeStates
	// callers, hopConnections and hopBodies count what clients hold.
	callers, hopConnections, hopBodies *intake.Ledger
	// offers counts the calls that are on their way to other nodes.
	offers atomic.Int64
	// refusedOffers counts the offers that were not made for want of descriptors.
	refusedOffers atomic.Uint64
	// transfers admits long bodies of other nodes to the link of this one.
	transfers *slotqueue.Queue
	// refusedTransfers counts the transfers that were refused because they were not admitted in
	// time.
	refusedTransfers atomic.Uint64
	// pace limits how fast long bodies are sent to other nodes; nil sets no limit.
	pace *rate.Limiter

	// running holds the calls that the workers beside this node run.
	running runningCalls
	// tenantsSince records since when callers are authenticated.
	tenantsSince tenantsSince
	// terms are those of workers beside other nodes.
	terms workers.TermsTable
	// limitRefusals counts the requests that found no room in time at a worker that names a limit.
	limitRefusals atomic.Uint64
	// refusals remembers callers that were refused with a time to retry after.
	refusals refusals

	// steering holds the decisions on moves of services to other versions.
	steering atomic.Pointer[steeringTable]

	mutex        contain.Mutex
	destinations map[string]*destination

	// open is set once the node knows the drain commitments that a previous incarnation of it
	// made.
	open atomic.Bool
	// leaving is set when callers are asked to close their connections, stopping when the node
	// refuses calls from other nodes.
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
	if config.Leaving == nil {
		config.Leaving = func(workers.Incarnation) {}
	}
	if config.Evidence == nil {
		config.Evidence = func([]quarantine.Report) {}
	}
	p := &Plane{
		config:         config,
		started:        time.Now(),
		peers:          newPeerTransport(config.Dial, config.Intake.Offers),
		callers:        intake.New("callers", config.Intake.Callers, config.IntakeReached),
		hopConnections: intake.New("calls", config.Intake.Hops, config.IntakeReached),
		hopBodies:      intake.New("call-bodies", config.Intake.HopBodies, config.IntakeReached),
		transfers:      slotqueue.New(parallelTransfers),
		pace:           linkPace(config.LinkSpeed),
		destinations:   map[string]*destination{},
	}
	p.transfers.RunTimers(p.contained)
	p.local = localWorkers{plane: p, clients: map[string]*workerClient{}}
	p.routes.states = map[string]*routeState{}
	return p
}

// The listeners for calls, as panics name them.
const (
	callersName = "callers"
	callsName   = "calls"
)

// panicFailure reports the panic of a request, which was recovered with a value, and returns the
// failure to conclude the request with. Once it is concluded, its answer may have begun: the panic goes
// on, and the connection ends.
func (p *Plane) panicFailure(listener string, value any, concluded, mayHaveRun bool) error {
	if concluded {
		panic(value)
	}
	if p.config.Panicked != nil {
		p.config.Panicked(contain.Recovered(listener, value))
	}
	if mayHaveRun {
		return outcome.New(outcome.Internal)
	}
	return outcome.New(outcome.InternalBeforeStart)
}

// giveBack does what follows the answer of a worker. The answer goes out whole although this panics.
func (p *Plane) giveBack(work func()) {
	contain.Run(contain.Request, callsName, p.config.Panicked, work)
}

// contained does work of a timer, and contains its panic.
func (p *Plane) contained(work func()) {
	contain.Run(contain.Task, "queue of calls", p.config.Panicked, work)
}

// destination returns what is known of a service, brought up to date with the current view of the
// nodes.
func (p *Plane) destination(service string) *destination {
	d := p.heldDestination(service)
	view, steering := p.config.View(), p.steering.Load()
	if view != d.view.Load() || steering != d.steering.Load() {
		d.refresh(view, steering)
		d.budget.SetSlack(p.config.Retries.Slack / float64(max(view.Count(), 1)))
	}
	return d
}

// heldDestination returns what is known of a service, as of its last refresh.
func (p *Plane) heldDestination(service string) *destination {
	p.mutex.Lock()
	defer p.mutex.Unlock()
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
	return d
}

// localLoad returns the load of this node's worker of a service.
func (p *Plane) localLoad(service string) (slotqueue.Load, bool) {
	client, err := p.local.find(service, workers.Incarnation{})
	if err != nil || client.paused() || client.terms.Terms().Leaving {
		return slotqueue.Load{}, false
	}
	return client.load(), true
}

// WorkerLoad returns the load of all workers beside this node together.
func (p *Plane) WorkerLoad() slotqueue.Load { return p.local.load() }

// Transfers returns the load of the transfer queue: the long bodies that are being sent to this
// node, and those that wait.
func (p *Plane) Transfers() slotqueue.Load { return p.transfers.Load() }

// RefusedTransfers returns how many long bodies of other nodes were refused because the link of
// this node was not free in time.
func (p *Plane) RefusedTransfers() uint64 { return p.refusedTransfers.Load() }

// serviceHere returns the service under which calls of this node begin: the one that the node's
// settings name. What workers report may be late, and of a worker that had the address before.
func (p *Plane) serviceHere() string {
	if p.config.Service != "" {
		return p.config.Service
	}
	return p.config.Workers.Service()
}

// left returns the time that is left until end, for a call that began at this node at the given
// time. The time during which the machine was suspended meanwhile is subtracted: without that,
// workers would be given time that the caller does not have.
func (p *Plane) left(began, end time.Time) time.Duration {
	return time.Until(end) - p.config.Suspended(began)
}

// CallerServer returns a server for callers. It does not open a listener itself.
func (p *Plane) CallerServer() *pipeline.Server {
	return pipeline.New(pipeline.Config{
		Handler:       http.HandlerFunc(p.serveCaller),
		MaxPipelined:  maximumPipelined,
		Limits:        p.callerLimits,
		Ledger:        p.callers,
		Panicked:      p.config.Panicked,
		ReceiveBuffer: p.receiveBuffer(),
	})
}

// callerLimits returns the limits of callers in force.
func (p *Plane) callerLimits() pipeline.Limits {
	limits := pipeline.Limits{}
	if configuration := p.config.Current(); configuration != nil {
		limits = configuration.Callers
	}
	return pipeline.Limits{
		MaxHeaderBytes:    cmp.Or(limits.MaxHeaderBytes, maximumHeaderBytes),
		ReadHeaderTimeout: cmp.Or(limits.ReadHeaderTimeout, readHeaderTime),
		IdleTimeout:       cmp.Or(limits.IdleTimeout, callerIdle),
	}
}

// receiveBuffer returns how large the receive buffers of callers are; nil where no plan says.
func (p *Plane) receiveBuffer() func(open int) int {
	if p.config.Intake.FullBuffers == 0 {
		return nil
	}
	return p.config.Intake.ReceiveBuffer
}

// Intake returns what clients hold of the node.
func (p *Plane) Intake() []intake.Reading {
	offers := intake.Reading{
		Pool: "offers", Limits: intake.Limits{Connections: p.config.Intake.Offers}, Connections: int(p.offers.Load()),
		Refused: map[intake.Bound]uint64{intake.Connections: p.refusedOffers.Load()},
	}
	return []intake.Reading{p.callers.Read(), p.hopConnections.Read(), p.hopBodies.Read(), offers}
}

// HopServer returns a server for other nodes. Their requests are trusted.
func (p *Plane) HopServer() *intake.Server {
	return intake.Guard(&http.Server{
		Handler:                      contain.Handler(callsName, p.config.Panicked, http.HandlerFunc(p.serveHop)),
		ReadHeaderTimeout:            readHeaderTime,
		IdleTimeout:                  peerServerIdle,
		MaxHeaderBytes:               2 * maximumHeaderBytes,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     log.New(io.Discard, "", 0),
	}, p.hopConnections)
}

// Open allows calls to the workers beside this node. Before that, the node may not know which of
// them a previous incarnation of it has made a drain commitment to.
func (p *Plane) Open() { p.open.Store(true) }

// Leave makes the node ask callers to close their connections.
func (p *Plane) Leave() { p.leaving.Store(true) }

// Stop makes the node refuse calls from other nodes as not-run. Calls in flight, and calls of
// callers to workers beside other nodes, go on.
func (p *Plane) Stop() { p.stopping.Store(true) }

// InFlight returns the numbers of calls in flight from callers and from other nodes.
func (p *Plane) InFlight() (calls, hops int64) { return p.calls.Load(), p.hops.Load() }

// WaitIdle waits until no call is in flight or the context ends.
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

// Close closes the unused connections to other nodes.
func (p *Plane) Close() { p.peers.CloseIdleConnections() }
