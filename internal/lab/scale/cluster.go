package scale

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/levertide/levertide/internal/lab/fabric"
	"github.com/levertide/levertide/internal/lab/hollow"
	"github.com/levertide/levertide/internal/lab/observe"
	"github.com/levertide/levertide/internal/lab/platform"
	"github.com/levertide/levertide/internal/lab/process"
	"github.com/levertide/levertide/internal/lab/worker"
	"github.com/levertide/levertide/internal/platform/consul"
	"github.com/levertide/levertide/internal/platform/consul/wire"
	"github.com/levertide/levertide/pkg/store/ratelimit"
	"github.com/levertide/levertide/pkg/versionstore"
)

// Cluster is one running emulation.
type Cluster struct {
	options  Options
	layout   *layout
	links    *fabric.Links
	group    *process.Group
	recorder *observe.Recorder
	events   *eventSink
	worker   *worker.Worker
	started  time.Time

	store        *platform.Server
	storeDirect  string
	storeRelayed string
	storeRelay   *fabric.Relay
	storeClient  *consul.Client
	versions     *versionstore.VersionStore

	children []*child
	real     []*realNode
	measured *measurements
	requests *storeRequests
	work     *workload

	mutex sync.Mutex
	// committed are the versions that the lab saw committed.
	committed []uint64
}

// labRequestRate is far above what the lab itself needs of the store.
const labRequestRate = 10000

// startCluster starts everything; nodes are not yet ready when it returns.
// The cluster is to be closed also after an error.
func startCluster(ctx context.Context, options Options, group *process.Group) (*Cluster, error) {
	placed, err := newLayout(options.Size)
	if err != nil {
		return nil, err
	}
	cluster := &Cluster{
		options:  options,
		layout:   placed,
		links:    fabric.NewLinks(0),
		group:    group,
		recorder: observe.NewRecorder(),
		started:  time.Now(),
		work:     newWorkload(options.Size.Services, options.Seed),
	}
	cluster.measured = newMeasurements(cluster.started)
	cluster.events = &eventSink{recorder: cluster.recorder, kept: options.Events}
	for _, pair := range placed.delays(options.Size) {
		cluster.links.SetDelay(pair.A, pair.B, pair.Delay)
	}
	for _, step := range []func() error{cluster.startStore, cluster.startWorker, cluster.startChildren} {
		if err := step(); err != nil {
			return cluster, err
		}
	}
	return cluster, cluster.startNodes(ctx)
}

// startStore starts the store stand-in, the lab's own client of it, and the
// relay through which real processes reach it.
func (c *Cluster) startStore() error {
	c.store = platform.New(platform.Config{Seed: c.options.Seed})
	var err error
	if c.storeDirect, err = c.store.Listen(fabric.HostPort(fabric.ZonePlatform, 1, c.layout.port)); err != nil {
		return ErrSize.Wrap(err, "store stand-in")
	}
	c.storeRelayed = fabric.HostPort(fabric.ZonePlatform, 1, c.layout.port+1)
	c.storeRelay = fabric.NewRelay(fabric.RelayOptions{
		Links: c.links, Zone: fabric.ZonePlatform, Listen: c.storeRelayed, Target: c.storeDirect,
	})
	c.requests = newStoreRequests(c.store)
	c.storeClient = consul.New(consul.Config{Address: "http://" + c.storeDirect, Client: labClient})
	c.versions = versionstore.New(versionstore.Config{
		Store: c.storeClient,
		Rate:  ratelimit.Options{RequestsPerSecond: labRequestRate, Burst: labRequestRate},
	})
	return c.storeRelay.Open()
}

// startWorker starts the one worker that real processes stand beside.
func (c *Cluster) startWorker() error {
	started, err := worker.Start(worker.Config{ID: "shared", Connections: maxWorkerConnections, ForgetRecords: true})
	c.worker = started
	return err
}

// maxWorkerConnections lets every real process probe the shared worker.
const maxWorkerConnections = 10000

// startChildren starts one process for the hollow nodes of each zone.
func (c *Cluster) startChildren() error {
	setup := &hollow.Setup{StoreAddress: c.storeDirect, Delays: c.layout.delays(c.options.Size)}
	for _, home := range c.layout.zones {
		started, err := startChild(c.group, c.options.Lab, home.name, c.events)
		if err != nil {
			return err
		}
		c.children = append(c.children, started)
		if _, err := started.ask(hollow.Request{Setup: setup}); err != nil {
			return err
		}
	}
	return nil
}

// startGap spreads the first start of nodes of one zone.
const startGap = 10 * time.Millisecond

// startNodes registers all nodes with the platform and starts them.
func (c *Cluster) startNodes(ctx context.Context) error {
	for _, spec := range c.layout.all() {
		c.register(spec)
	}
	starting, _ := errgroup.WithContext(ctx)
	for i := range c.layout.zones {
		starting.Go(func() error { return c.startHollow(i, c.layout.zones[i].hollow, startGap) })
	}
	for _, home := range c.layout.zones {
		for _, spec := range home.real {
			node := c.newReal(spec)
			c.real = append(c.real, node)
			starting.Go(node.start)
		}
	}
	return starting.Wait()
}

// newReal returns a real process that does not run yet.
func (c *Cluster) newReal(spec hollow.NodeSpec) *realNode {
	node := &realNode{spec: spec, cluster: c}
	node.relay = fabric.NewRelay(fabric.RelayOptions{
		Links: c.links, Zone: spec.Number, Listen: controlAddress(spec),
		Target: node.at(offsetControlBehind), FirstDelayedHost: fabric.FirstRealHost,
	})
	return node
}

// startHollow starts hollow nodes of one zone.
func (c *Cluster) startHollow(zone int, specs []hollow.NodeSpec, gap time.Duration) error {
	if len(specs) == 0 {
		return nil
	}
	starting := &hollow.Start{}
	for _, spec := range specs {
		spec.StartGap = gap
		starting.Nodes = append(starting.Nodes, spec)
	}
	_, err := c.children[zone].ask(hollow.Request{Start: starting})
	return err
}

// register puts a node on the platform's machine list.
func (c *Cluster) register(spec hollow.NodeSpec) {
	c.store.Register(wire.ServiceRegistration{
		ID:      spec.ID,
		Name:    wire.ServiceName,
		Address: fabric.Address(spec.Number, spec.Host).String(),
		Port:    spec.Port,
		Meta: map[string]string{
			wire.MetaRegion:         spec.Region,
			wire.MetaZone:           spec.Zone,
			wire.MetaService:        spec.Service,
			wire.MetaControlAddress: controlAddress(spec),
			wire.MetaCallAddress:    fabric.HostPort(spec.Number, spec.Host, spec.Port+offsetCall),
		},
	})
}

// tellAll sends a request to every process of hollow nodes.
func (c *Cluster) tellAll(request hollow.Request) error {
	var telling errgroup.Group
	for _, one := range c.children {
		telling.Go(func() error {
			_, err := one.ask(request)
			return err
		})
	}
	return telling.Wait()
}

// names returns the identifiers of all nodes.
func (c *Cluster) names() []string { return namesOf(c.layout.all()) }

// namesOf returns the identifiers of nodes.
func namesOf(specs []hollow.NodeSpec) []string {
	names := make([]string, len(specs))
	for i, spec := range specs {
		names[i] = spec.ID
	}
	return names
}

// close ends what the lab's own process holds; the group ends the processes.
func (c *Cluster) close() {
	for _, node := range c.real {
		node.relay.Close()
	}
	if c.storeRelay != nil {
		c.storeRelay.Close()
	}
	if c.storeClient != nil {
		c.storeClient.Close()
	}
	if c.store != nil {
		c.store.Close()
	}
	if c.worker != nil {
		bound, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = c.worker.Stop(bound)
	}
}
