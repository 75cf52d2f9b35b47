package sim

import (
	"github.com/levertide/levertide/pkg/balance"
	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/retry"
)

// forward begins to forward a request to a worker.
func (s *serving) forward(r *request) {
	s.forwarding++
	balancer := s.balancer(r.service)
	s.attempt(&forwardedRequest{
		request:  r,
		balancer: balancer,
		attempts: retry.NewAttempts(retry.AttemptsOptions{
			Allowance:  retry.DefaultAllowance,
			Repeatable: r.repeatable || s.agent.world.options.Seams.RepeatUnknown,
			Budget:     s.budgets[r.service],
		}),
	})
}

// forwardedRequest is a request that is being forwarded, across all its attempts.
type forwardedRequest struct {
	*request
	balancer *balance.Balancer
	attempts retry.Attempts
	tried    []string
}

func (s *serving) attempt(f *forwardedRequest) {
	picked, err := f.balancer.Pick(f.tried...)
	if err != nil {
		s.giveUp(f)
		return
	}
	target := s.agent.world.byID[picked.Endpoint.ID]
	f.tried = append(f.tried, target.id)
	f.attempts.Begin()
	w := s.agent.world
	left := f.deadline - w.scheduler.now
	w.network.call(s.agent.node, target, "call", left,
		func(answer func(any)) { target.agent.serves.serve(f.request, s.agent, answer) },
		func(answer any, err error) {
			result := reply{reason: outcome.ConnectionLost}
			switch {
			case err == errNotConnected:
				result.reason = outcome.Unreachable
				picked.Done(balance.Result{Outcome: balance.Failed})
			case err != nil:
				picked.Done(balance.Result{Outcome: balance.Failed})
			default:
				result = answer.(reply)
				picked.Done(balance.Result{Outcome: balanceOutcome(result.reason), Load: result.load, LoadKnown: true, Draining: result.draining})
			}
			s.handleAttempt(f, result)
		})
}

func balanceOutcome(reason outcome.Reason) balance.Outcome {
	if reason == "" {
		return balance.Answered
	}
	return balance.Shed
}

// handleAttempt ends a request that was answered, and makes another attempt
// at one that was not if the retry rules allow it.
func (s *serving) handleAttempt(f *forwardedRequest, result reply) {
	if result.reason == "" {
		s.finish(f.request, outcome.Answered, result.body)
		return
	}
	w := s.agent.world
	inTime := w.scheduler.now < f.deadline
	if !f.attempts.Fail(outcome.New(result.reason), inTime, w.wallClock()) {
		s.giveUp(f)
		return
	}
	longest := f.attempts.Pause(retry.DefaultBackoff, 1)
	if longest == 0 {
		s.attempt(f)
		return
	}
	s.agent.process.after(w.random.duration(longest), "attempt", func() {
		if w.scheduler.now >= f.deadline {
			s.giveUp(f)
			return
		}
		s.attempt(f)
	})
}

// giveUp ends a request without an answer. If no attempt was made, there was no
// worker to pick and the request has certainly not run.
func (s *serving) giveUp(f *forwardedRequest) {
	result := outcome.NotRun
	if failure := f.attempts.Failure(); failure != nil {
		result = outcome.Of(failure)
	}
	s.finish(f.request, result, "")
}

func (s *serving) finish(r *request, result outcome.Outcome, body string) {
	s.forwarding--
	s.agent.world.oracle.observeOutcome(r, result, body)
	delete(s.agent.world.callers.open, r.id)
}
