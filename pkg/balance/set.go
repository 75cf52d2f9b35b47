package balance

import (
	"math"
	"sync/atomic"
)

// Tiers of endpoints, from near to far.
const (
	tierZone = iota
	tierRegion
	tierElsewhere
	tierCount
)

// summaryAge is the maximum age, in nanoseconds, of the summary of a set.
const summaryAge = 2_000_000

// candidate is an endpoint of a set with its state.
type candidate struct {
	endpoint Endpoint
	state    *endpointState
}

// endpointSet is immutable except for its summary. Endpoints that leave are in
// states, so that their observations are kept, but in no tier.
type endpointSet struct {
	tiers  [tierCount][]candidate
	states map[string]*endpointState
	total  int // in tiers

	summaryAt atomic.Int64
	loads     [tierCount]atomic.Uint64 // float64, mean of the usable endpoints
	panicking atomic.Bool
}

func newEndpointSet(endpoints []Endpoint, previous *endpointSet, options Options, now int64) *endpointSet {
	set := &endpointSet{states: make(map[string]*endpointState, len(endpoints))}
	set.summaryAt.Store(noTime)
	for _, endpoint := range endpoints {
		state := stateFor(endpoint, previous, now)
		set.states[endpoint.ID] = state
		if endpoint.Leaving {
			continue
		}
		tier := tierOf(endpoint, options)
		set.tiers[tier] = append(set.tiers[tier], candidate{endpoint: endpoint, state: state})
		set.total++
	}
	return set
}

// stateFor returns the existing state of a known incarnation, else a new one. An
// endpoint that joins a set that was filled before is in slow start.
func stateFor(endpoint Endpoint, previous *endpointSet, now int64) *endpointState {
	if previous == nil {
		return newEndpointState(endpoint)
	}
	if known, ok := previous.states[endpoint.ID]; ok && known.incarnation >= endpoint.Incarnation {
		return known
	}
	state := newEndpointState(endpoint)
	state.slowFrom.Store(now)
	return state
}

func tierOf(endpoint Endpoint, options Options) int {
	switch {
	case endpoint.Region == options.Region && endpoint.Zone == options.Zone:
		return tierZone
	case endpoint.Region == options.Region:
		return tierRegion
	default:
		return tierElsewhere
	}
}

// refresh recomputes the summary when it is older than summaryAge. Of concurrent
// callers one does it.
func (s *endpointSet) refresh(now int64, options *Options) {
	at := s.summaryAt.Load()
	if at != noTime && now-at < summaryAge {
		return
	}
	if !s.summaryAt.CompareAndSwap(at, now) {
		return
	}
	usable := 0
	for tier := range s.tiers {
		count, load := s.summarize(tier, now, options)
		usable += count
		s.loads[tier].Store(math.Float64bits(load))
	}
	s.panicking.Store(float64(usable) < options.PanicFraction*float64(s.total))
}

func (s *endpointSet) summarize(tier int, now int64, options *Options) (usable int, load float64) {
	sum := 0.0
	for i := range s.tiers[tier] {
		state := s.tiers[tier][i].state
		if state.draining(now) || state.ejected(now) {
			continue
		}
		usable++
		sum += state.expectedLoad(now, options.LoadHalfLife)
	}
	if usable == 0 {
		return 0, 0
	}
	return usable, sum / float64(usable)
}

func (s *endpointSet) load(tier int) float64 {
	return math.Float64frombits(s.loads[tier].Load())
}
