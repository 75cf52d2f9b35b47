package hosted

import (
	"context"
	"time"

	"github.com/levertide/levertide/pkg/canary"
	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/workers"
)

// statusBound bounds one call to the store about a status.
const statusBound = 500 * time.Millisecond

// lead is one node's part as coordinator of one roll-out.
type lead struct {
	store RolloutStore
	// era and order are the era and the revision of the order.
	era, order uint64
	machine    *canary.Rollout
	// seen is what each node has told that its worker did, by node and route.
	seen map[runsOf]canary.Tally
	// ran and failed count the requests of the new version, and reason says why it was
	// rolled back.
	ran, failed float64
	reason      string
	// status is the one held by the store, once known is set.
	status RolloutStatus
	known  bool
}

// runsOf names one row of what a node has told.
type runsOf struct {
	node        string
	incarnation uint64
	route       string
}

func newLead(store RolloutStore, held fleet.Rollout) *lead {
	l := &lead{
		store: store, era: held.Era, order: held.Revision, seen: map[runsOf]canary.Tally{},
		machine: canary.NewRollout(held.Ordered, held.Deadline),
	}
	l.machine.Resume(canary.Decision{State: held.State, Share: held.Share})
	return l
}

// decide returns the decision from now on. What is final is first of all so in the
// store: a version that is completed there has its former workers stopped at once. A
// roll-back is applied before, since leaving a bad version harms nobody.
func (l *lead) decide(ctx context.Context, view *fleet.View, held fleet.Rollout, longest time.Duration, now time.Time) fleet.Rollout {
	if !l.known && !l.readStatus(ctx, held) {
		return held
	}
	if l.decidedInStore(held) {
		return decidedAs(held, l.status.State)
	}
	seen := l.observe(view, held)
	seen.Drain = longest
	decision := l.machine.Step(seen, now)
	l.reason = decision.Reason
	written := l.writeStatus(ctx, held, decision.State)
	switch {
	case l.decidedInStore(held):
		return decidedAs(held, l.status.State)
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
func (l *lead) decidedInStore(held fleet.Rollout) bool {
	return l.status.State.Final() && l.status.Target == held.Target && l.status.Revision > held.Revision
}

func (l *lead) readStatus(ctx context.Context, held fleet.Rollout) bool {
	bounded, cancel := context.WithTimeout(ctx, statusBound)
	defer cancel()
	status, err := l.store.Status(bounded, held.Service)
	if err != nil {
		// The store is tried again with the next look; until then nothing is decided.
		return false
	}
	l.status, l.known = status, true
	return true
}

// writeStatus has the store hold the state, unless it does. It reports whether it does
// afterwards. A write whose answer was lost is found by its condition with the next look.
func (l *lead) writeStatus(ctx context.Context, held fleet.Rollout, state canary.State) bool {
	if l.status.State == state && l.status.Target == held.Target && l.status.Revision > held.Revision {
		return true
	}
	bounded, cancel := context.WithTimeout(ctx, statusBound)
	defer cancel()
	wanted := RolloutStatus{Service: held.Service, Target: held.Target, State: state, Revision: l.status.Revision}
	status, written, err := l.store.WriteStatus(bounded, wanted)
	if err != nil {
		return false
	}
	l.status = status
	return written
}

// observe hands the judge what workers did since the last look.
func (l *lead) observe(view *fleet.View, held fleet.Rollout) canary.Progress {
	former, next := map[string]canary.Tally{}, map[string]canary.Tally{}
	seen := canary.Progress{Applied: true}
	for _, n := range view.Nodes() {
		worker, has := workerOf(n, held.Service)
		if has && worker.State == workers.StateReady && worker.Version == held.Target && n.State == fleet.StateLive {
			seen.Workers++
		}
		told, knows := rolloutOf(n, held)
		if n.State == fleet.StateLive && (!knows || !told.SameDecision(held)) {
			seen.Applied = false
		}
		if !has || worker.Version == "" {
			continue
		}
		into := former
		if worker.Version == held.Target {
			into = next
		}
		for _, runs := range told.Runs {
			into[runs.Route] = into[runs.Route].Plus(l.since(n, runs))
		}
	}
	for route, did := range next {
		l.ran += did.Runs
		l.failed += did.Failed
		l.machine.Judge().Observe(route, former[route], did)
		delete(former, route)
	}
	for route, did := range former {
		l.machine.Judge().Observe(route, did, canary.Tally{})
	}
	seen.Runs = l.ran
	return seen
}

// since returns what a node's worker did on a route since the last look.
func (l *lead) since(n *fleet.Node, runs fleet.RouteRuns) canary.Tally {
	key := runsOf{node: n.ID, incarnation: n.Incarnation, route: runs.Route}
	did := runs.Tally.Minus(l.seen[key])
	if did.Runs < 0 {
		// Another worker of the same life of the node counts from its own beginning.
		did = runs.Tally
	}
	l.seen[key] = runs.Tally
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

// rolloutOf returns what a node tells of an order.
func rolloutOf(n *fleet.Node, order fleet.Rollout) (fleet.Rollout, bool) {
	for _, told := range n.Rollouts {
		if told.Service == order.Service && told.Era == order.Era && told.Revision == order.Revision {
			return told, true
		}
	}
	return fleet.Rollout{}, false
}
