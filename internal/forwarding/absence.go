package forwarding

import (
	"fmt"
	"time"

	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/workers"
)

// absence is a failure for want of a worker, with what this node knows of the workers of the service.
// It is for logs, and counts when its text is read: not every failure of a crowd is logged.
type absence struct {
	failure error
	explain func() string
}

func (a *absence) Error() string { return a.failure.Error() + ": " + a.explain() }

// Unwrap returns the failure.
func (a *absence) Unwrap() error { return a.failure }

// explained returns the cause to report of a call that began at this node and has failed.
func (c *call) explained(err error) error {
	if outcome.ReasonOf(err) != outcome.NoWorker || c.report.Service == "" {
		return err
	}
	service := c.report.Service
	return &absence{failure: err, explain: func() string {
		return c.plane.workersInMesh(service) + "; " + c.plane.local.workersHere(service, workers.Incarnation{})
	}}
}

// explained returns the cause to report of a call of another node that has failed here.
func (c *hopCall) explained(err error) error {
	if outcome.ReasonOf(err) != outcome.NoWorker {
		return err
	}
	return &absence{failure: err, explain: func() string { return c.plane.local.workersHere(c.hop.service, c.hop.incarnation) }}
}

// workerStates counts workers by state.
type workerStates struct {
	ready, silent, draining, gone int
}

func (s *workerStates) count(state workers.State) {
	switch state {
	case workers.StateReady:
		s.ready++
	case workers.StateUnresponsive:
		s.silent++
	case workers.StateDraining:
		s.draining++
	case workers.StateGone:
		s.gone++
	}
}

// String formats the counts for logs.
func (s workerStates) String() string {
	return fmt.Sprintf("ready %d, silent %d, draining %d, gone %d", s.ready, s.silent, s.draining, s.gone)
}

// workersInMesh says what this node knows of the workers of a service beside all nodes.
func (p *Plane) workersInMesh(service string) string {
	var states workerStates
	var nodes, away, unaddressed int
	for _, node := range p.config.View().Nodes() {
		if !countWorkers(&states, node, service) {
			continue
		}
		nodes++
		if node.State != fleet.StateLive {
			away++
		}
		if !node.CallAddress.IsValid() {
			unaddressed++
		}
	}
	return fmt.Sprintf("%d nodes name a worker of the service (%v; nodes that leave or have left %d, without a usable address %d)", nodes, states, away, unaddressed) +
		", " + p.destination(service).endpointStates(p, time.Now())
}

// countWorkers counts a node's workers of a service by state. It reports whether there is any.
func countWorkers(states *workerStates, node *fleet.Node, service string) bool {
	found := false
	for _, worker := range node.Workers {
		if worker.Service == service {
			states.count(worker.State)
			found = true
		}
	}
	return found
}

// endpointStates says why the endpoints of a service take no call.
func (d *destination) endpointStates(p *Plane, now time.Time) string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var unreachable, paused, overdue, leaving int
	for _, e := range d.ordered {
		if !p.config.Contacts.Reachable(e.node) {
			unreachable++
		}
		if now.Before(e.pausedUntil) {
			paused++
		}
		if e.unresponsive(now) {
			overdue++
		}
		if p.terms.Leaving(e.incarnation(), now) {
			leaving++
		}
	}
	text := fmt.Sprintf("%d may be chosen (unreachable %d, paused %d, overdue %d, leaving by their answers %d)", len(d.ordered), unreachable, paused, overdue, leaving)
	if decision, moves := d.steering.Load().decision(d.service); moves {
		text += fmt.Sprintf(" while the service moves to version %q", decision.Target)
	}
	return text
}

// workersHere says what is registered beside this node of a service, and whether that is the incarnation
// asked for; an empty instance asks for any.
func (l *localWorkers) workersHere(service string, wanted workers.Incarnation) string {
	var states workerStates
	others := 0
	for _, worker := range l.plane.config.Workers.Workers() {
		if worker.Service != service {
			others++
			continue
		}
		states.count(worker.State)
	}
	text := fmt.Sprintf("beside this node: %v, of other services %d", states, others)
	if wanted.Instance != "" {
		text += fmt.Sprintf(", asked for %q", wanted)
	}
	if worker, ok := l.plane.config.Workers.Ready(service); ok {
		text += fmt.Sprintf(", takes calls %q at %s", worker.Incarnation(), worker.Address)
		text += l.pauseOf(worker)
	}
	return text
}

// pauseOf says whether a worker gets no calls for now; empty when it gets some.
func (l *localWorkers) pauseOf(worker workers.Worker) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	client, known := l.clients[worker.Instance]
	switch {
	case !known || !client.isOf(worker.Incarnation()):
		return ""
	case client.paused():
		return " (paused)"
	case client.terms.Terms().Leaving:
		return " (leaving by its answers)"
	}
	return ""
}
