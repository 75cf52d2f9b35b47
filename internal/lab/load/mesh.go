package load

import (
	"context"
	"fmt"
	"time"

	"github.com/levertide/levertide/internal/lab/worker"
	"github.com/levertide/levertide/pkg/model"
)

// Hosts, services and timeouts of the measurements.
const (
	serviceName = "ledger"
	serviceHost = "ledger.lab"
	// unrepeatableHost routes to the same service; its requests must not be repeated.
	unrepeatableHost = "once.ledger.lab"
	gatewayID        = "gateway"
	callTimeout      = 30 * time.Second
	uploadTimeout    = 10 * time.Minute
)

// member is a worker and the node beside it.
type member struct {
	node   node
	worker *worker.Worker
}

// mesh is a gateway node and several workers, each with its node.
type mesh struct {
	fleet   fleet
	shape   serviceShape
	gateway node
	members []member
}

// serviceShape holds the settings of the service's manifest that differ between measurements.
type serviceShape struct {
	slots, queue int
	slowStart    time.Duration
}

// connections is how many connections each worker accepts, and the limit in its manifest. The two
// must agree: a worker that closes connections below the limit loses requests that nodes have
// already written on them.
func (s serviceShape) connections() int { return worker.DefaultConnections + s.slots }

// startMesh starts a gateway and the workers and brings the routes into force. The caller closes
// the mesh, unless an error is returned.
func startMesh(ctx context.Context, options Options, config worker.Config, shape serviceShape) (*mesh, error) {
	f, err := newFleet(options)
	if err != nil {
		return nil, err
	}
	m := &mesh{fleet: f, shape: shape}
	if err := m.start(ctx, options, config); err != nil {
		m.close()
		return nil, err
	}
	return m, nil
}

func (m *mesh) start(ctx context.Context, options Options, config worker.Config) error {
	var err error
	if m.gateway, err = m.fleet.start(ctx, nodeSpec{id: gatewayID, zone: zoneName(0), gateway: true}); err != nil {
		return err
	}
	for i := range options.Workers {
		if err := m.addMember(ctx, i, options.Zones, config, ""); err != nil {
			return err
		}
	}
	return m.fleet.apply(ctx, resourcesOf(m.shape))
}

// addMember starts a worker and the node beside it.
func (m *mesh) addMember(ctx context.Context, index, zones int, config worker.Config, suffix string) error {
	config.ID = fmt.Sprintf("worker-%d%s", index, suffix)
	config.Connections = m.shape.connections()
	w, err := worker.Start(config)
	if err != nil {
		return err
	}
	started, err := m.fleet.start(ctx, nodeSpec{
		id: fmt.Sprintf("node-%d%s", index, suffix), zone: zoneName(index % zones),
		service: serviceName, worker: w.Address(),
	})
	if err != nil {
		w.Close()
		return err
	}
	m.members = append(m.members, member{node: started, worker: w})
	return nil
}

func zoneName(index int) string { return fmt.Sprintf("zone-%d", index) }

func resourcesOf(shape serviceShape) []model.Resource {
	return []model.Resource{
		{
			Key: model.Key{Kind: model.KindService, Name: serviceName},
			Service: &model.Service{
				Slots: shape.slots, Connections: shape.connections(), Queue: shape.queue,
				SlowStart: shape.slowStart, Timeout: callTimeout,
			},
		},
		routeTo("any", serviceName, serviceHost, model.RepeatAlways),
		routeTo("once", serviceName, unrepeatableHost, model.RepeatNever),
	}
}

func routeTo(name, service, host string, repeatable model.Repeatable) model.Resource {
	return model.Resource{
		Key: model.Key{Kind: model.KindRoute, Name: name},
		Route: &model.Route{
			Match:      model.Match{Host: host, PathPrefix: "/"},
			Service:    service,
			Repeatable: repeatable,
			Priority:   model.PriorityNormal,
			Timeout:    uploadTimeout,
		},
	}
}

func (m *mesh) workers() []*worker.Worker {
	workers := make([]*worker.Worker, len(m.members))
	for i, item := range m.members {
		workers[i] = item.worker
	}
	return workers
}

// processorTime returns the processor time that all nodes have used; false when nodes are not
// processes of their own.
func (m *mesh) processorTime() (time.Duration, bool) {
	total, ok := m.gateway.usage()
	sum := total.Processor
	for _, item := range m.members {
		usage, measured := item.node.usage()
		sum += usage.Processor
		ok = ok && measured
	}
	return sum, ok
}

func (m *mesh) close() {
	m.fleet.close()
	for _, item := range m.members {
		item.worker.Close()
	}
}
