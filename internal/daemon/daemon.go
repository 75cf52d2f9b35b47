package daemon

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/levertide/levertide/internal/control"
	"github.com/levertide/levertide/internal/dataplane"
	"github.com/levertide/levertide/internal/identity"
	"github.com/levertide/levertide/internal/platform/consul"
	"github.com/levertide/levertide/internal/settings"
	"github.com/levertide/levertide/internal/telemetry"
	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/endpoint"
	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/snapshot"
	"github.com/levertide/levertide/pkg/validation"
)

// Version is the program's version, set by the linker.
var Version = "unknown"

// supervisorTimeout bounds the shutdown of the services once the calls have ended.
const supervisorTimeout = 5 * time.Second

// Daemon is one node of the mesh.
type Daemon struct {
	settings     settings.Settings
	log          *telemetry.Log
	certificates *identity.Reloader
	store        *consul.Client
	node         *control.Node
	plane        *dataplane.Plane
	listeners    listeners
	gate         *gate
	registry     *telemetry.Registry
	panics       *telemetry.Panics
	incarnation  uint64
}

// New opens the listeners and creates the components. Nothing runs before Run.
// It fails with ErrStart, or with the error of the component that cannot be created.
func New(s settings.Settings, log *telemetry.Log) (*Daemon, error) {
	daemon := &Daemon{
		settings:    s,
		log:         log,
		gate:        newGate(reasonStarting),
		incarnation: uint64(time.Now().UnixNano()),
	}
	daemon.panics = telemetry.NewPanics(log, daemon.inFlight)
	daemon.registry = telemetry.NewRegistry(daemon.panics, adminName, daemon.reading)
	steps := []func() error{daemon.loadCertificates, daemon.openListeners, daemon.makeControl, daemon.makePlane}
	for _, step := range steps {
		if err := step(); err != nil {
			daemon.listeners.close()
			return nil, err
		}
	}
	daemon.setHandlers()
	return daemon, nil
}

// Run runs the node until the context ends, and then shuts it down gracefully:
// calls in flight are completed first. The error is nil after a graceful shutdown.
// Once the context has ended, signal returns the name of the signal that ended it.
// After a panic that may have left shared state half changed, the node shuts down like
// that by itself, and the error is an ErrPanicked.
func (d *Daemon) Run(ctx context.Context, signal func() string) error {
	tuneMemory()
	d.log.Started(Version, d.settings.Region, d.settings.Zone, d.settings.Service, d.incarnation)
	d.log.Listening(d.listeners.caller.address, d.listeners.call.address,
		d.listeners.control.Addr().String(), d.listeners.admin.address)
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := d.supervisor().ServeBackground(running)
	select {
	case err := <-ended:
		return err
	case <-d.panics.HalfChanged():
		d.log.StopRequested("panic")
	case <-ctx.Done():
		d.log.StopRequested(signal())
	}
	d.stop()
	cancel()
	<-ended
	d.plane.Close()
	d.store.Close()
	d.log.Stopped()
	if d.panics.MayBeHalfChanged() {
		return ErrPanicked.New("a panic may have left shared state half changed")
	}
	return nil
}

// supervisor returns a supervisor that restarts a service when it returns an error.
// A panic means that an invariant is broken: the service stays ended, and the node stops.
func (d *Daemon) supervisor() *suture.Supervisor {
	supervisor := suture.New("levertided", suture.Spec{
		EventHook:         d.logPartEvent,
		PassThroughPanics: true,
		Timeout:           supervisorTimeout,
	})
	add := func(part contain.Server) { supervisor.Add(contain.NewService(part, d.panics.Report)) }
	add(d.node)
	add(d.listeners.caller)
	add(d.listeners.call)
	add(d.listeners.admin)
	add(&readiness{daemon: d})
	if d.certificates != nil {
		add(d.certificates)
	}
	if d.settings.WorkerAddress != "" {
		add(newWorkerProbe(d.settings.WorkerAddress, d.plane.ObserveWorker, d.plane.WorkerStarted, d.log))
	}
	return supervisor
}

func (d *Daemon) logPartEvent(event suture.Event) {
	switch failed := event.(type) {
	case suture.EventServiceTerminate:
		d.log.PartFailed(failed.ServiceName, failed.Map()["error"].(string))
	case suture.EventStopTimeout:
		d.log.PartFailed(failed.ServiceName, "did not stop within "+supervisorTimeout.String())
	}
}

// seeds returns the control addresses of the settings, which are checked when they are loaded.
func (d *Daemon) seeds() []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, text := range d.settings.Seeds {
		if seed, err := endpoint.Parse(text); err == nil {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

func (d *Daemon) makeControl() error {
	d.store = d.newStoreClient()
	config := control.Config{
		Self:              d.self(),
		Mesh:              d.settings.Mesh,
		Gateway:           d.settings.Gateway,
		Seeds:             d.seeds(),
		FanOut:            d.settings.FanOut,
		Hold:              d.settings.Hold,
		UnresponsiveBound: d.settings.UnresponsiveBound,
		Listener:          d.listeners.control,
		Dial:              dialer(d.settings.Source()),
		Store:             d.store,
		Machines:          d.store,
		Validate:          d.validate,
		Events:            d.log,
		Panicked:          d.panics.Report,
	}
	if d.certificates != nil {
		config.TLS = d.certificates.Mutual(identity.RoleNode, identity.RoleOperator)
		config.ClientTLS = d.certificates.Client()
		config.VerifySender = verifySender
	}
	node, err := control.New(config)
	d.node = node
	return err
}

func (d *Daemon) makePlane() error {
	config := dataplane.Config{
		Node:          d.settings.NodeID,
		Region:        d.settings.Region,
		Zone:          d.settings.Zone,
		Service:       d.settings.Service,
		WorkerAddress: d.settings.WorkerAddress,
		Current:       d.node.Current,
		Directory:     d.node.Directory,
		Dial:          dialer(d.settings.Source()),
		Observer:      telemetry.NewCallObserver(d.registry.Registerer(), d.log),
		Panicked:      d.panics.Report,
	}
	if d.certificates != nil {
		config.PeerTLS = d.certificates.Client()
	}
	plane, err := dataplane.New(config)
	d.plane = plane
	return err
}

func (d *Daemon) self() membership.Record {
	return membership.Record{
		ID:             d.settings.NodeID,
		Incarnation:    d.incarnation,
		Region:         d.settings.Region,
		Zone:           d.settings.Zone,
		Service:        d.settings.Service,
		ControlAddress: firstNonEmpty(d.settings.AdvertiseControlAddress, d.listeners.control.Addr().String()),
		CallAddress:    firstNonEmpty(d.settings.AdvertiseCallAddress, d.listeners.call.address),
	}
}

func firstNonEmpty(candidates ...string) string {
	for _, candidate := range candidates {
		if candidate != "" {
			return candidate
		}
	}
	return ""
}

// validate returns an error if this node cannot run a version.
func (d *Daemon) validate(candidate *snapshot.Snapshot) error {
	limits := validation.DefaultLimits()
	limits.MaxResources = d.settings.MaxResources
	check := func() error { return validation.CheckSnapshot(candidate, limits) }
	if err := contain.Read("version", d.panics.Report, check); err != nil {
		return err
	}
	return d.plane.Validate(candidate)
}

// reading returns the state that a scrape of the metrics reports.
func (d *Daemon) reading() telemetry.Reading {
	ready, _ := d.node.Readiness()
	reading := telemetry.Reading{Ready: ready, Counters: d.node.Counters()}
	if current := d.node.Current(); current != nil {
		reading.VersionInForce = current.Version()
	}
	reading.Members = countMembers(d.node.Directory())
	return reading
}

// inFlight returns how many calls of callers and of other nodes the node holds. It takes no lock, since
// it is called after panics.
func (d *Daemon) inFlight() int64 {
	callers, peers := d.plane.InFlight()
	return int64(callers + peers)
}

func (d *Daemon) setHandlers() {
	d.listeners.caller.newHTTPServer = func() *http.Server { return d.gated(d.plane.CallerServer()) }
	d.listeners.call.newHTTPServer = func() *http.Server { return d.gated(d.plane.PeerServer()) }
	d.listeners.admin.newHTTPServer = d.adminServer
	for _, s := range []*server{d.listeners.caller, d.listeners.call, d.listeners.admin} {
		s.panicked = d.panics.Report
	}
}

func (d *Daemon) gated(web *http.Server) *http.Server {
	web.Handler = d.gate.wrap(web.Handler)
	return web
}
