package fleet

import (
	"time"

	"github.com/levertide/levertide/pkg/canary"
)

// Rollout is a node's knowledge of the move of a service to another version of its
// workers. A published value is never changed.
type Rollout struct {
	Service string
	// Target is the version that the service moves to.
	Target string
	// Era and Revision identify the operators' order in the store: revisions restart with
	// each era.
	Era, Revision uint64
	// Ordered and Deadline are the wall-clock times of the order and of its end, by the
	// clock of the node that read it.
	Ordered, Deadline time.Time
	// Step rises with each decision on the order; State and Share are the last one.
	Step  uint32
	State canary.State
	// Share is the share of the requests that go to the target, from 0 to 1.
	Share float64
	// Runs are the results of the worker beside the node since the order, by route.
	Runs []RouteRuns
}

// RouteRuns is the tally of a worker's results on one route.
type RouteRuns struct {
	Route string
	canary.Tally
}

// Supersedes reports whether the decision replaces another one on the same service: a
// later order does, then a final state, and then a later step.
func (r Rollout) Supersedes(other Rollout) bool {
	switch {
	case r.Era != other.Era:
		return r.Era > other.Era
	case r.Revision != other.Revision:
		return r.Revision > other.Revision
	case r.State.Final() != other.State.Final():
		return r.State.Final()
	case r.State != other.State:
		// Two different final states come from two answers of the store, which never gives
		// both. If it ever did, nothing may run on a version that was found bad.
		return r.State == canary.RolledBack
	default:
		return r.Step > other.Step
	}
}

// SameDecision reports whether both values lead to the same routing.
func (r Rollout) SameDecision(other Rollout) bool {
	return r.Era == other.Era && r.Revision == other.Revision && r.State == other.State && r.Step == other.Step
}
