package dataplane

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/levertide/levertide/internal/suspend"
	"github.com/levertide/levertide/pkg/admission"
	"github.com/levertide/levertide/pkg/quarantine"
	"github.com/levertide/levertide/pkg/retry"
	"github.com/levertide/levertide/pkg/snapshot"
)

// Plane carries the calls of one node. Use New.
type Plane struct {
	config Config
	limits Limits
	// peerLimits are those for callers with twice the grace, so that a slow
	// caller is cut by the node that it talks to.
	peerLimits Limits

	active       atomic.Pointer[activeVersion]
	compiling    sync.Mutex
	staged       atomic.Pointer[stagedTable]
	destinations destinations

	peers  *peerPool
	evidenceSent   evidenceSendTimes
	worker *workerClient

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
		return ErrInvalidConfig.New("no node identifier")
	case config.Current == nil || config.Directory == nil:
		return ErrInvalidConfig.New("no source of snapshots or members")
	case (config.Service == "") != (config.WorkerAddress == ""):
		return ErrInvalidConfig.New("a service needs a worker address and the other way round")
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

// Validate reports whether calls could use a snapshot. What it compiles is kept
// for when the snapshot comes in force.
func (p *Plane) Validate(candidate *snapshot.Snapshot) error {
	_, err := p.compile(candidate)
	return err
}

// WorkerStarted tells that the worker has just started: slow start begins.
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
	// HasWorker tells whether Worker and WorkerLoad mean anything.
	HasWorker bool
	Worker    admission.Stats
	// WorkerLoad is the load of the worker as told to other nodes, from 0 to 1.
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

// Close ends the unused connections to other nodes and to the worker. Calls in
// flight are not touched.
func (p *Plane) Close() {
	p.peers.close()
	if p.worker != nil {
		p.worker.currentTransport().CloseIdleConnections()
	}
}
