package sim

import (
	"fmt"

	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/outcome"
)

const leavingState = membership.StateLeaving

// observeExecution checks and records that a worker begins to run a request.
func (o *oracle) observeExecution(r *request, s *serving) {
	r.executions++
	id := s.agent.node.id
	if r.executions > 1 && !r.repeatable {
		o.violate(InvariantOnce, id, fmt.Sprintf("request %d ran %d times", r.id, r.executions))
	}
	if r.reported == outcome.NotRun {
		o.violate(InvariantNotRun, id, fmt.Sprintf("request %d ran after its caller was told that it did not", r.id))
	}
	if s.leaving && o.world.scheduler.now-s.leavingSince > leavingGrace {
		o.violate(InvariantLeaving, id, fmt.Sprintf("request %d began %v after the node began to leave", r.id, o.world.scheduler.now-s.leavingSince))
	}
}

// observeOutcome checks and records the outcome that a caller was given.
func (o *oracle) observeOutcome(r *request, reported outcome.Outcome, body string) {
	subject := fmt.Sprint("request ", r.id)
	if r.ended {
		o.violate(InvariantEnds, subject, "ended twice")
	}
	r.ended, r.reported = true, reported
	switch reported {
	case outcome.Answered:
		o.summary.Answered++
	case outcome.NotRun:
		o.summary.NotRun++
	case outcome.Unknown:
		o.summary.Unknown++
	}
	if reported == outcome.NotRun && r.executions > 0 {
		o.violate(InvariantNotRun, subject, "it ran")
	}
	if reported == outcome.Answered && (body != bodyOf(r.id) || r.executions == 0) {
		o.violate(InvariantOwnAnswer, subject, fmt.Sprintf("got %q after %d executions", body, r.executions))
	}
}

// observeArrival checks a request that has reached a worker's node. None should
// come once the node has been leaving for longer than leavingGrace, unless a
// recent fault may have kept the sender from learning of it.
func (o *oracle) observeArrival(s *serving, entry *agent) {
	now := o.world.scheduler.now
	if !s.leaving || now-s.leavingSince <= leavingGrace || now-o.world.faults.lastInjectedAt < undisturbedBefore {
		return
	}
	o.violate(InvariantLeaving, s.agent.node.id, "still sent requests by "+entry.node.id)
}

// observePlannedStop checks that a planned stop of a node's process cuts off no
// request.
func (o *oracle) observePlannedStop(s *serving) {
	if s.executing > 0 || s.forwarding > 0 {
		o.violate(InvariantPlannedStop, s.agent.node.id, fmt.Sprintf("%d executing, %d forwarding", s.executing, s.forwarding))
	}
}
