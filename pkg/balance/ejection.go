package balance

import (
	"cmp"
	"slices"
	"time"
)

// ejectionsForgottenAfter is the number of requests since the last ejection from
// which a success resets the count of ejections, so that the next ejection has the
// first length again.
const ejectionsForgottenAfter = 100

// eject takes the endpoint out of use for a time, unless too many are ejected
// already.
func (b *Balancer) eject(state *endpointState, now int64) {
	b.update.Lock()
	defer b.update.Unlock()
	if state.ejected(now) || !b.mayEject(state, now) {
		return
	}
	until := now + int64(b.ejectionTime(state.startEjection()))
	state.slowFrom.Store(until)
	state.ejectedUntil.Store(until)
	b.set.Load().summaryAt.Store(noTime)
}

// mayEject reports whether one more endpoint of the current set may be ejected.
func (b *Balancer) mayEject(state *endpointState, now int64) bool {
	set := b.set.Load()
	if set == nil || set.states[state.id] != state {
		return false
	}
	return len(set.ejectedStates(now)) < b.options.ejectionCap(set.total)
}

func (s *endpointSet) ejectedStates(now int64) []*endpointState {
	var ejected []*endpointState
	for _, tier := range s.tiers {
		for i := range tier {
			if tier[i].state.ejected(now) {
				ejected = append(ejected, tier[i].state)
			}
		}
	}
	return ejected
}

// readmitBeyondCap ends the ejections that would end soonest until no more than the
// cap are ejected. A set that has shrunk may exceed it.
func (b *Balancer) readmitBeyondCap(set *endpointSet, now int64) {
	ejected := set.ejectedStates(now)
	excess := len(ejected) - b.options.ejectionCap(set.total)
	if excess <= 0 {
		return
	}
	slices.SortFunc(ejected, func(a, b *endpointState) int {
		return cmp.Compare(a.ejectedUntil.Load(), b.ejectedUntil.Load())
	})
	for _, state := range ejected[:excess] {
		state.slowFrom.Store(now)
		state.ejectedUntil.Store(now)
	}
}

// ejectionCap returns how many of total endpoints may be ejected at one time.
func (o Options) ejectionCap(total int) int {
	if total < 2 {
		return 0
	}
	return max(int(o.EjectedFraction*float64(total)), 1)
}

// onProbation reports whether the endpoint has not yet succeeded since its last
// ejection; then one failure is enough for the next.
func (s *endpointState) onProbation() bool {
	return s.ejections > 0 && s.samples == s.failures
}

// startEjection resets the failure counts and returns the number of previous
// ejections.
func (s *endpointState) startEjection() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before := s.ejections
	s.ejections++
	s.failures = 0
	s.samples = 0
	s.failureRate = 0
	return before
}

func (b *Balancer) ejectionTime(before int) time.Duration {
	length := b.options.EjectionTime
	for range before {
		length *= 2
		if length >= b.options.MaximumEjection {
			return b.options.MaximumEjection
		}
	}
	return length
}
