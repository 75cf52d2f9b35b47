package forwarding

import (
	"sync"

	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/slotqueue"
	"github.com/levertide/levertide/pkg/workers"
)

// localWorkers are the ways to the workers beside this node.
type localWorkers struct {
	plane *Plane
	mutex sync.Mutex
	// connections are by instance, each of one life of it.
	connections map[string]*workerConnection
}

// find returns the way to the worker that takes the requests of a service. A life whose
// instance is not empty must be that worker's.
func (l *localWorkers) find(service string, incarnation workers.Incarnation) (*workerConnection, error) {
	if l.plane.stopping.Load() {
		return nil, outcome.New(outcome.Draining)
	}
	if !l.plane.open.Load() {
		return nil, outcome.New(outcome.NotReady)
	}
	worker, ok := l.plane.config.Workers.Ready(service)
	if !ok || incarnation.Instance != "" && !incarnation.Same(worker.Incarnation()) {
		return nil, outcome.New(outcome.NoWorker)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	connection, known := l.known(worker)
	if !known {
		connection = l.plane.newWorkerConnection(worker)
		l.connections[worker.Instance] = connection
	}
	return connection, nil
}

// known returns the way to a worker. One to a former life of the same instance is closed
// and forgotten: its connections, requests and failures are not the new life's. The mutex
// is held.
func (l *localWorkers) known(worker workers.Worker) (*workerConnection, bool) {
	connection, known := l.connections[worker.Instance]
	if !known {
		return nil, false
	}
	if connection.isOf(worker.Incarnation()) {
		return connection, true
	}
	connection.close()
	delete(l.connections, worker.Instance)
	return nil, false
}

// load sums up what the workers hold; Hold is left out, and Slowness is that of the
// slowest.
func (l *localWorkers) load() slotqueue.Load {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var sum slotqueue.Load
	for _, connection := range l.connections {
		load := connection.load()
		sum.Running += load.Running
		sum.Waiting += load.Waiting
		sum.Slots += load.Slots
		sum.Slowness = max(sum.Slowness, load.Slowness)
	}
	return sum
}

// Update brings the ways to the workers in line with their registrations. It
// must be called after each change, before the change is acknowledged: from
// then on, a worker that was promised to be left alone gets nothing new.
func (p *Plane) Update(registered []workers.Worker) {
	p.local.update(registered)
}

func (l *localWorkers) update(registered []workers.Worker) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	kept := make(map[string]bool, len(registered))
	for _, worker := range registered {
		connection, known := l.known(worker)
		if worker.State.DrainCommitted() {
			if known {
				connection.close()
				delete(l.connections, worker.Instance)
			}
			continue
		}
		kept[worker.Instance] = true
		if known {
			connection.setSlots(worker.Slots)
		}
	}
	for instance, connection := range l.connections {
		if !kept[instance] {
			connection.close()
			delete(l.connections, instance)
		}
	}
}
