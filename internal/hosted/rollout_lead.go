package hosted

import (
	"context"
	"time"

	"github.com/levertide/levertide/pkg/canary"
	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/workers"
)

// statusBound is the timeout of one call to the store about a status.
const statusBound = 500 * time.Millisecond

// coordinator is the state of a node that coordinates one roll-out.
type coordinator struct {
	store RolloutStore
	// era and order are the era and the revision of the order.
	era, order uint64
	machine    *canary.Rollout
	// counted is what each node's worker had done when it was last observed, by node and route.
	counted map[runsKey]canary.Tally
	// ran and failed count the requests of the new version, and reason is why it was rolled back.
	ran, failed float64
	reason      string
	// status is the one held by the store, once known is set.
	status RolloutStatus
	known  bool
}

// runsKey identifies a reported tally: a route at one incarnation of a node.
type runsKey struct {
	node        string
	incarnation uint64
	route       string
}

func newCoordinator(store RolloutStore, held fleet.Rollout) *coordinator {
	c := &coordinator{
		store: store, era: held.Era, order: held.Revision, counted: map[runsKey]canary.Tally{},
		machine: canary.NewRollout(held.Ordered, held.Deadline),
	}
	c.machine.Resume(canary.Decision{State: held.State, Share: held.Share})
	return c
}

// decide returns the decision from now on. A final state is written to the store first: once the
// store lists a version as completed, the workers of the previous version are stopped at once. A
// roll-back is applied before it is written, since leaving a bad version harms nobody.
func (c *coordinator) decide(ctx context.Context, view *fleet.View, held fleet.Rollout, drain time.Duration, now time.Time) fleet.Rollout {
	if !c.known && !c.readStatus(ctx, held) {
		return held
	}
	if c.decidedInStore(held) {
		return decidedAs(held, c.status.State)
	}
	progress := c.observe(view, held)
	progress.Drain = drain
	decision := c.machine.Step(progress, now)
	c.reason = decision.Reason
	written := c.writeStatus(ctx, held, decision.State)
	switch {
	case c.decidedInStore(held):
		return decidedAs(held, c.status.State)
	case decision.State == canary.Completed && !written:
		return held
	case decision.State == held.State && decision.Share == held.Share:
		return held
	}
	next := held
	next.Step++
	next.State, next.Share = decision.State, decision.Share
	return next
}

// decidedAs returns the held decision with the final state that the store has.
func decidedAs(held fleet.Rollout, state canary.State) fleet.Rollout {
	if held.State == state {
		return held
	}
	held.Step++
	held.State, held.Share = state, 0
	if state == canary.Completed {
		held.Share = 1
	}
	return held
}

// decidedInStore reports whether the store holds a final state of this order.
func (c *coordinator) decidedInStore(held fleet.Rollout) bool {
	return c.status.State.Final() && c.status.Target == held.Target && c.status.Revision > held.Revision
}

func (c *coordinator) readStatus(ctx context.Context, held fleet.Rollout) bool {
	bounded, cancel := context.WithTimeout(ctx, statusBound)
	defer cancel()
	status, err := c.store.Status(bounded, held.Service)
	if err != nil {
		// The store is read again at the next check; until then nothing is decided.
		return false
	}
	c.status, c.known = status, true
	return true
}

// writeStatus has the store hold the state, unless it does already. It reports whether the store
// holds it afterwards. If the answer to a write was lost, the condition of the next write, at the
// next check, does not hold, and the answer returns the status that the lost write has left.
func (c *coordinator) writeStatus(ctx context.Context, held fleet.Rollout, state canary.State) bool {
	if c.status.State == state && c.status.Target == held.Target && c.status.Revision > held.Revision {
		return true
	}
	bounded, cancel := context.WithTimeout(ctx, statusBound)
	defer cancel()
	wanted := RolloutStatus{Service: held.Service, Target: held.Target, State: state, Revision: c.status.Revision}
	status, written, err := c.store.WriteStatus(bounded, wanted)
	if err != nil {
		return false
	}
	c.status = status
	return written
}

// observe passes what workers did since the last check to the judge, and returns the progress of the
// roll-out.
func (c *coordinator) observe(view *fleet.View, held fleet.Rollout) canary.Progress {
	previous, next := map[string]canary.Tally{}, map[string]canary.Tally{}
	progress := canary.Progress{Applied: true}
	for _, n := range view.Nodes() {
		worker, has := workerOf(n, held.Service)
		if has && worker.State == workers.StateReady && worker.Version == held.Target && n.State == fleet.StateLive {
			progress.Workers++
		}
		reported, known := rolloutOf(n, held)
		if n.State == fleet.StateLive && (!known || !reported.SameDecision(held)) {
			progress.Applied = false
		}
		if !has || worker.Version == "" {
			continue
		}
		into := previous
		if worker.Version == held.Target {
			into = next
		}
		for _, runs := range reported.Runs {
			into[runs.Route] = into[runs.Route].Plus(c.since(n, runs))
		}
	}
	for route, did := range next {
		c.ran += did.Runs
		c.failed += did.Failed
		c.machine.Judge().Observe(route, previous[route], did)
		delete(previous, route)
	}
	for route, did := range previous {
		c.machine.Judge().Observe(route, did, canary.Tally{})
	}
	progress.Runs = c.ran
	return progress
}

// since returns what a node's worker did on a route since the last check.
func (c *coordinator) since(n *fleet.Node, runs fleet.RouteRuns) canary.Tally {
	key := runsKey{node: n.ID, incarnation: n.Incarnation, route: runs.Route}
	did := runs.Tally.Minus(c.counted[key])
	if did.Runs < 0 {
		// Another worker of the same incarnation of the node starts its counts from zero.
		did = runs.Tally
	}
	c.counted[key] = runs.Tally
	return did
}

// workerOf returns the worker of a service beside a node: a ready one, if there is one.
func workerOf(n *fleet.Node, service string) (workers.Worker, bool) {
	var found workers.Worker
	has := false
	for _, worker := range n.Workers {
		if worker.Service == service && (!has || worker.State == workers.StateReady) {
			found, has = worker, true
		}
	}
	return found, has
}

// rolloutOf returns the state of an order in a node's record.
func rolloutOf(n *fleet.Node, order fleet.Rollout) (fleet.Rollout, bool) {
	for _, reported := range n.Rollouts {
		if reported.Service == order.Service && reported.Era == order.Era && reported.Revision == order.Revision {
			return reported, true
		}
	}
	return fleet.Rollout{}, false
}
