package forwarding

import (
	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/slotqueue"
	"github.com/levertide/levertide/pkg/workers"
)

// localWorkers holds the clients of the workers beside this node.
type localWorkers struct {
	plane *Plane
	mutex contain.Mutex
	// clients are by instance, each for one incarnation of it.
	clients map[string]*workerClient
}

// find returns the client of the worker that takes the requests of a service. An incarnation
// whose instance is not empty must be that worker's.
func (l *localWorkers) find(service string, incarnation workers.Incarnation) (*workerClient, error) {
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
	client, known := l.known(worker)
	if !known {
		client = l.plane.newWorkerClient(worker)
		l.clients[worker.Instance] = client
	}
	return client, nil
}

// known returns the client of a worker. One of a previous incarnation of the same instance is
// closed and removed: its connections, requests and failures do not belong to the new
// incarnation. The mutex must be held.
func (l *localWorkers) known(worker workers.Worker) (*workerClient, bool) {
	client, known := l.clients[worker.Instance]
	if !known {
		return nil, false
	}
	if client.isOf(worker.Incarnation()) {
		return client, true
	}
	client.close()
	delete(l.clients, worker.Instance)
	return nil, false
}

// load returns the sum of the loads of the workers; Hold is left out, and Slowness is that of the
// slowest.
func (l *localWorkers) load() slotqueue.Load {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var sum slotqueue.Load
	for _, client := range l.clients {
		load := client.load()
		sum.Running += load.Running
		sum.Waiting += load.Waiting
		sum.Slots += load.Slots
		sum.Slowness = max(sum.Slowness, load.Slowness)
	}
	return sum
}

// Update updates the clients of the workers to match their registrations. It must be called
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
		client, known := l.known(worker)
		if worker.State.DrainCommitted() {
			if known {
				client.close()
				delete(l.clients, worker.Instance)
			}
			continue
		}
		kept[worker.Instance] = true
		if known {
			client.setSlots(worker.Slots)
		}
	}
	for instance, client := range l.clients {
		if !kept[instance] {
			client.close()
			delete(l.clients, instance)
		}
	}
}
