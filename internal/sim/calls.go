package sim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/levertide/levertide/pkg/admission"
	"github.com/levertide/levertide/pkg/balance"
	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/retry"
	"github.com/levertide/levertide/pkg/snapshot"
)

// Times, sizes and chances of calls. undisturbedBefore is how long after a fault
// nodes may still not have heard of a leaving node: as long as the longest cut and
// pause together.
const (
	callPeriod           = 40 * time.Millisecond
	callDeadline         = 2 * time.Second
	longestRunTime       = 600 * time.Millisecond
	workerSlots          = 4
	workerRefusalPercent = 3
	leavingGrace         = 5 * time.Second
	leavingNotice        = 3 * time.Second
	lateNotRunPercent    = 5
	repeatablePercent    = 50
	undisturbedBefore    = longestCut + longestPause
)

// request is one call of a caller. The oracle maintains the counts and the outcome.
type request struct {
	id         int
	repeatable bool
	service    string
	deadline   time.Duration
	executions int
	reported   outcome.Outcome
	ended      bool
	// entry is the node process to which the caller sends the request.
	entry *process
}

// callers sends requests to nodes.
type callers struct {
	world  *World
	number int
	// open holds the requests that have not ended, by number.
	open map[int]*request
}

func (c *callers) schedule() {
	if c.open == nil {
		c.open = make(map[int]*request)
	}
	c.world.scheduler.after(c.world.random.duration(2*callPeriod), "caller", func() {
		if !c.world.settling {
			c.send()
		}
		c.schedule()
	})
}

// send sends a new request to a random node, if that one is ready.
func (c *callers) send() {
	entry := pick(c.world.random, c.world.nodes)
	if !entry.process.alive || entry.process.paused || !entry.agent.serves.ready() {
		return
	}
	service, found := entry.agent.serves.someService()
	if !found {
		return
	}
	c.number++
	r := &request{
		id: c.number, service: service, entry: entry.process,
		repeatable: c.world.random.percent(repeatablePercent),
		deadline:   c.world.scheduler.now + callDeadline,
	}
	c.open[r.id] = r
	entry.agent.serves.forward(r)
}

// reply is the answer of the node beside a worker.
type reply struct {
	// reason is why the worker gave no answer; empty when it gave one.
	reason   outcome.Reason
	body     string
	draining bool
	load     float64
}

func bodyOf(id int) string { return fmt.Sprint("answer to ", id) }

// serving is the call-forwarding state of a node, both as the node that a caller
// sends to and as the node beside a worker.
type serving struct {
	agent     *agent
	inForce   *snapshot.Snapshot
	gate      *admission.Gate
	balancers map[string]*balance.Balancer
	budgets   map[string]*retry.Budget
	// forwarding and executing count the requests that a planned stop must wait for.
	forwarding, executing int
	leaving               bool
	leavingSince          time.Duration
}

func newServing(a *agent) serving {
	return serving{
		agent:     a,
		balancers: make(map[string]*balance.Balancer),
		budgets:   make(map[string]*retry.Budget),
		gate: admission.New(admission.Options{
			Slots: workerSlots, Queue: admission.NoQueue, Now: a.world.wallClock,
		}),
	}
}

func (s *serving) ready() bool {
	return s.inForce != nil && !s.leaving && s.agent.participant.State().Ready
}

// someService returns the service of a random route in force.
func (s *serving) someService() (string, bool) {
	var services []string
	for _, route := range s.inForce.Routes() {
		services = append(services, route.Service)
	}
	if len(services) == 0 {
		return "", false
	}
	return pick(s.agent.world.random, services), true
}

func (s *serving) balancer(service string) *balance.Balancer {
	if s.balancers[service] == nil {
		s.balancers[service] = balance.New(balance.Options{
			Zone: s.agent.node.zone, Region: s.agent.node.region, Now: s.agent.world.wallClock,
			Random: rand.NewPCG(s.agent.world.random.Uint64(), 0),
		})
		s.budgets[service] = retry.NewBudget(retry.BudgetOptions{})
		s.updateEndpointsOf(service)
	}
	return s.balancers[service]
}

// updateEndpoints updates all balancers to the members that are known now.
func (s *serving) updateEndpoints() {
	for _, service := range sortedKeys(s.balancers) {
		s.updateEndpointsOf(service)
	}
}

func (s *serving) updateEndpointsOf(service string) {
	var endpoints []balance.Endpoint
	for _, record := range s.agent.table.View().ByService(service) {
		endpoints = append(endpoints, balance.Endpoint{
			ID: record.ID, Zone: record.Zone, Region: record.Region,
			Address: record.CallAddress, Incarnation: record.Incarnation,
		})
	}
	s.balancers[service].Update(endpoints)
}

// serve admits a request and has the worker run it.
func (s *serving) serve(r *request, entry *agent, answer func(any)) {
	w := s.agent.world
	w.oracle.observeArrival(s, entry)
	permit, err := s.gate.Admit(context.Background(), admission.PriorityNormal)
	if err != nil {
		answer(reply{reason: refusalOf(err), draining: s.leaving, load: s.gate.Load()})
		return
	}
	if w.random.percent(workerRefusalPercent) {
		permit.Release(admission.Result{Refused: true})
		answer(reply{reason: outcome.RefusedByOwnWorker, load: s.gate.Load()})
		return
	}
	w.oracle.observeExecution(r, s)
	s.executing++
	took := w.random.duration(longestRunTime)
	s.agent.process.after(took, "worker answers", func() {
		s.executing--
		permit.Release(admission.Result{Latency: took})
		if w.options.Seams.LateNotRun && w.random.percent(lateNotRunPercent) {
			answer(reply{reason: outcome.RefusedByOwnWorker})
			return
		}
		answer(reply{body: bodyOf(r.id), draining: s.leaving, load: s.gate.Load()})
	})
}

// refusalOf returns the outcome reason for an error of the gate.
func refusalOf(err error) outcome.Reason {
	if admission.ReasonOf(err) == admission.ReasonDraining {
		return outcome.Draining
	}
	return outcome.Overloaded
}

// Leave stops a node as planned: the node announces that it is leaving, accepts no
// new requests, and its process ends once none is in flight.
func (w *World) Leave(n *node) {
	if !n.process.alive || n.process.paused || n.agent.serves.leaving {
		return
	}
	w.faults.count("planned stop")
	a := n.agent
	a.serves.leaving = true
	a.serves.leavingSince = w.scheduler.now
	record := a.self.Attach()
	record.State = leavingState
	a.announce(record)
	a.upstream.drop()
	a.serves.gate.Drain()
	a.process.after(leavingNotice, "stop", a.stopWhenIdle)
}

func (a *agent) stopWhenIdle() {
	stats := a.serves.gate.Stats()
	if stats.InFlight > 0 || a.serves.forwarding > 0 {
		a.process.after(tickPeriod, "stop", a.stopWhenIdle)
		return
	}
	a.world.oracle.observePlannedStop(&a.serves)
	a.world.endNode(a.node)
	n := a.node
	a.world.scheduler.after(a.world.random.duration(longestRestart), "restart "+n.id, func() { a.world.start(n) })
}
