package balance

import "time"

// Outcome is the outcome of a request as far as the endpoint is responsible.
type Outcome uint8

// The outcomes.
const (
	// Answered: the worker's complete answer was received.
	Answered Outcome = iota
	// Shed: the endpoint is alive and refused before running the request. Unless it
	// drains, it counts as fully loaded.
	Shed
	// Failed: no connection, no answer in time, or a truncated answer.
	Failed
	// Canceled: the caller canceled the request. This does not affect the endpoint.
	Canceled
)

const failureRateWeight = 0.1

// Result is the observed result of a request.
type Result struct {
	Outcome Outcome
	// Latency is the time to the first byte of the answer; zero when unknown.
	Latency time.Duration
	// Load is the load that the endpoint reported, from 0 to 1, when LoadKnown.
	Load      float64
	LoadKnown bool
	// Draining states that the endpoint reported that it drains.
	Draining bool
}

// Done reports the result of the request. Further calls on the same Pick do
// nothing.
func (p *Pick) Done(result Result) {
	if p.state == nil {
		return
	}
	state := p.state
	p.state = nil
	outstanding := state.outstanding.Add(-1) + 1
	p.balancer.observe(state, result, outstanding)
}

// observe records a result that was received while the given number of requests,
// its own included, were outstanding.
func (b *Balancer) observe(state *endpointState, result Result, outstanding int64) {
	now := b.now()
	if result.Outcome == Shed && !result.Draining {
		result.Load, result.LoadKnown = 1, true
	}
	if result.LoadKnown {
		state.reportLoad(result.Load, outstanding, now)
	}
	if result.Draining {
		state.drainUntil.Store(now + int64(b.options.DrainHold))
	}
	switch result.Outcome {
	case Answered:
		state.succeeded()
	case Failed:
		if state.failed(b.options) {
			b.eject(state, now)
		}
	case Shed, Canceled:
	}
}

func (s *endpointState) succeeded() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.failures = 0
	s.samples++
	s.failureRate -= s.failureRate * failureRateWeight
	if s.samples >= ejectionsForgottenAfter {
		s.ejections = 0
	}
}

// failed records a failure and reports whether the endpoint is to be ejected.
func (s *endpointState) failed(options Options) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.failures++
	s.samples++
	s.failureRate += (1 - s.failureRate) * failureRateWeight
	if s.failures >= options.FailuresToEject || s.onProbation() {
		return true
	}
	return s.samples >= options.FailureRateSamples && s.failureRate > options.FailureRate
}
