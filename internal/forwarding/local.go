package forwarding

import (
	"sync"

	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/slotqueue"
	"github.com/levertide/levertide/pkg/workers"
)

// localWorkers holds the connections to the workers beside this node.
type localWorkers struct {
	plane *Plane
	mutex sync.Mutex
	// connections are by instance, each to one incarnation of it.
	connections map[string]*workerConnection
}

// find returns the connection to the worker that takes the requests of a service. An incarnation
// whose instance is not empty must be that worker's.
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

// known returns the connection to a worker. One to a previous incarnation of the same instance is
// closed and removed: its connections, requests and failures do not belong to the new
// incarnation. The mutex must be held.
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

// load returns the sum of the loads of the workers; Hold is left out, and Slowness is that of the
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

// Update updates the connections to the workers to match their registrations. It must be called
// after each change, before the change is acknowledged: from then on, a worker with a drain
// commitment gets no new calls.
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
