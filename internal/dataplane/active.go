package dataplane

import (
	"github.com/levertide/levertide/pkg/admission"
	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/routing"
	"github.com/levertide/levertide/pkg/snapshot"
)

// activeVersion is a snapshot prepared for serving calls. It is immutable except
// for the destinations, which successive versions share.
type activeVersion struct {
	snapshot     *snapshot.Snapshot
	table        *routing.Table
	destinations map[string]*destination
}

// stagedTable is a table compiled before its snapshot came into force.
type stagedTable struct {
	snapshot *snapshot.Snapshot
	table    *routing.Table
}

// current returns the runtime of the snapshot in force, or nil.
func (p *Plane) current() *activeVersion {
	inForce := p.config.Current()
	used := p.active.Load()
	if used != nil && (inForce == nil || used.snapshot == inForce) {
		return used
	}
	if inForce == nil {
		return nil
	}
	return p.activate()
}

// activate prepares the snapshot in force and makes it the active version. It
// reads the snapshot in force again under the lock, so that a slow goroutine
// cannot reinstate an older one.
func (p *Plane) activate() *activeVersion {
	p.compiling.Lock()
	defer p.compiling.Unlock()
	inForce := p.config.Current()
	used := p.active.Load()
	if inForce == nil || used != nil && used.snapshot == inForce {
		return used
	}
	table, err := p.compile(inForce)
	if err != nil {
		p.config.Observer.RuntimeRejected(inForce.Version(), err)
		return used
	}
	next := &activeVersion{snapshot: inForce, table: table, destinations: map[string]*destination{}}
	for name := range inForce.Services() {
		next.destinations[name] = p.destinations.get(name)
	}
	p.applyWorkerLimits(inForce)
	p.active.Store(next)
	p.config.Observer.RuntimeInForce(inForce.Version(), table.Len())
	return next
}

// compile returns the table of a snapshot, the staged one if there is one.
func (p *Plane) compile(source *snapshot.Snapshot) (*routing.Table, error) {
	if staged := p.staged.Load(); staged != nil && staged.snapshot == source {
		return staged.table, nil
	}
	var table *routing.Table
	err := contain.Read("version", p.config.Panicked, func() (err error) {
		table, err = routing.Compile(source)
		return err
	})
	if err != nil {
		return nil, err
	}
	p.staged.Store(&stagedTable{snapshot: source, table: table})
	return table, nil
}

func (p *Plane) applyWorkerLimits(inForce *snapshot.Snapshot) {
	if p.worker == nil {
		return
	}
	if service, ok := inForce.Service(p.config.Service); ok {
		p.worker.applyLimits(service)
	}
}

// gateOptions returns the admission options that a service configures.
func gateOptions(service *model.Service) admission.Options {
	return admission.Options{
		Slots:       service.Slots,
		Connections: service.Connections,
		Queue:       service.Queue,
		SlowStart:   service.SlowStart,
	}
}

// priorityOf returns the admission priority of a route.
func priorityOf(route *routing.Route) admission.Priority {
	switch route.Config.Priority {
	case model.PriorityLow:
		return admission.PriorityLow
	case model.PriorityHigh:
		return admission.PriorityHigh
	default:
		return admission.PriorityNormal
	}
}
