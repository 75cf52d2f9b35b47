package dataplane

import (
	"net"
	"sync/atomic"

	"github.com/levertide/levertide/internal/suspend"
	"github.com/levertide/levertide/pkg/admission"
	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/quarantine"
	"github.com/levertide/levertide/pkg/retry"
	"github.com/levertide/levertide/pkg/snapshot"
	"github.com/levertide/levertide/pkg/workers"
)

// Plane forwards the calls of one node. Use New.
type Plane struct {
	config Config
	limits Limits
	// peerLimits are limits with twice the grace and half the minimum rate, so
	// that a slow caller is cut off by the node that it is connected to.
	peerLimits Limits

	active       atomic.Pointer[activeVersion]
	compiling    contain.Mutex
	staged       atomic.Pointer[stagedTable]
	destinations destinations

	peers        *peerPool
	evidenceSent evidenceSendTimes
	worker       *workerClient
	// terms are those of workers beside other nodes.
	terms workers.TermsTable

	callerCalls inFlight
	peerCalls   inFlight
	// peerConnections and callerConnections are the connections that other nodes
	// and callers have opened.
	peerConnections   inFlight
	callerConnections inFlight
	draining          atomic.Bool // other nodes are refused
	closing           atomic.Bool // callers are refused
}

// New returns a Plane. It fails with ErrInvalidConfig.
func New(config Config) (*Plane, error) {
	if err := checkConfig(&config); err != nil {
		return nil, err
	}
	p := &Plane{
		config:      config,
		limits:      config.Limits,
		callerCalls: newInFlight(),
		peerCalls:   newInFlight(),

		peerConnections:   newInFlight(),
		callerConnections: newInFlight(),
	}
	p.peerLimits = config.Limits
	p.peerLimits.Grace *= 2
	p.peerLimits.MinimumRate /= 2
	p.peers = newPeerPool(&p.config)
	p.destinations.make = p.newDestination
	if config.WorkerAddress != "" {
		p.worker = newWorkerClient(&p.config)
	}
	return p, nil
}

func checkConfig(config *Config) error {
	switch {
	case config.Node == "":
		return ErrInvalidConfig.New("Node is empty")
	case config.Current == nil || config.Directory == nil:
		return ErrInvalidConfig.New("Current and Directory must both be set")
	case (config.Service == "") != (config.WorkerAddress == ""):
		return ErrInvalidConfig.New("Service and WorkerAddress must be set together")
	}
	config.Limits = config.Limits.withDefaults()
	config.Balance.Region = config.Region
	config.Balance.Zone = config.Zone
	if config.Observer == nil {
		config.Observer = noObserver{}
	}
	if config.Suspended == nil {
		config.Suspended = suspend.Since
	}
	if config.Quarantine == nil {
		config.Quarantine = quarantine.New(quarantine.Options{})
	}
	if config.Dial == nil {
		config.Dial = (&net.Dialer{}).DialContext
	}
	if config.Backoff == (retry.Backoff{}) {
		config.Backoff = retry.DefaultBackoff
	}
	return nil
}

// Validate checks whether calls could use a snapshot. The compiled table is kept
// for when the snapshot comes into force.
func (p *Plane) Validate(candidate *snapshot.Snapshot) error {
	_, err := p.compile(candidate)
	return err
}

// WorkerStarted begins slow start; it is called when the worker has just started.
func (p *Plane) WorkerStarted() {
	if p.worker != nil {
		p.worker.workerStarted()
	}
}

// Status is the state of a Plane at one moment.
type Status struct {
	// Version is the version that new calls use; zero when there is none.
	Version uint64
	// CallerCalls and PeerCalls are the calls in flight.
	CallerCalls, PeerCalls int
	Draining               bool
	// HasWorker is set when Worker and WorkerLoad are valid.
	HasWorker bool
	Worker    admission.Stats
	// WorkerLoad is the load of the worker as reported to other nodes, from 0 to 1.
	WorkerLoad float64
}

// Status returns the state of the plane.
func (p *Plane) Status() Status {
	status := Status{
		CallerCalls: p.callerCalls.count(),
		PeerCalls:   p.peerCalls.count(),
		Draining:    p.draining.Load(),
	}
	if current := p.active.Load(); current != nil {
		status.Version = current.snapshot.Version()
	}
	if p.worker != nil {
		gate := p.worker.gate
		status.HasWorker = true
		status.Worker = gate.Stats()
		status.WorkerLoad = gate.Load()
	}
	return status
}

// InFlight returns the numbers of calls in flight from callers and from other nodes.
func (p *Plane) InFlight() (callers, peers int) { return p.callerCalls.count(), p.peerCalls.count() }

// Close closes the idle connections to other nodes and to the worker. Calls in
// flight are not affected.
func (p *Plane) Close() {
	p.peers.close()
	if p.worker != nil {
		p.worker.currentTransport().CloseIdleConnections()
	}
}
