package balance

import "slices"

const (
	// slowStartDraws is how many endpoints are drawn at most when draws fall on
	// endpoints in slow start.
	slowStartDraws = 4
	// reportedLoadWeight is what a full reported load adds to the cost of an
	// endpoint, relative to 1 for an idle one.
	reportedLoadWeight = 4
)

// Pick is a request assigned to an endpoint. Done must be called once.
type Pick struct {
	Endpoint Endpoint

	balancer *Balancer
	state    *endpointState
}

// Pick chooses an endpoint whose ID is not among exclude. The error is of type
// ErrNoEndpoint.
func (b *Balancer) Pick(exclude ...string) (Pick, error) {
	set := b.set.Load()
	if set == nil || set.total == 0 {
		return Pick{}, errNone
	}
	now := b.now()
	set.refresh(now, &b.options)
	search := search{balancer: b, set: set, exclude: exclude, now: now}
	search.ignoreEjections = set.panicking.Load()
	found := search.run()
	if found == nil && !search.ignoreEjections {
		search.ignoreEjections = true
		found = search.run()
	}
	if found == nil {
		return Pick{}, errUnusable
	}
	found.state.outstanding.Add(1)
	return Pick{Endpoint: found.endpoint, balancer: b, state: found.state}, nil
}

// search is the state of one Pick in progress.
type search struct {
	balancer        *Balancer
	set             *endpointSet
	exclude         []string
	now             int64
	ignoreEjections bool
}

// run goes through the tiers from near to far as long as requests spill over, and
// returns the least loaded of the endpoints drawn. It returns nil when none is
// usable.
func (s *search) run() *candidate {
	var best *candidate
	bestLoad, mean := 0.0, 1.0
	for tier := range s.set.tiers {
		found := s.pickIn(s.set.tiers[tier])
		if found == nil {
			continue
		}
		load := s.load(found)
		if best == nil || load < bestLoad {
			best, bestLoad = found, load
		}
		mean = min(mean, s.set.load(tier))
		if bestLoad < s.balancer.options.SpillBusy && !s.balancer.spills(mean) {
			return best
		}
	}
	return best
}

// spills decides at random whether a request goes to a farther tier than endpoints
// of the given mean load.
func (b *Balancer) spills(mean float64) bool {
	if mean <= b.options.SpillStart {
		return false
	}
	span := b.options.SpillFull - b.options.SpillStart
	return b.chance((mean - b.options.SpillStart) / span)
}

// pickIn draws two usable endpoints and returns the one of lower cost.
func (s *search) pickIn(tier []candidate) *candidate {
	if len(tier) == 0 {
		return nil
	}
	first := s.draw(tier)
	if first == nil || len(tier) == 1 {
		return first
	}
	second := s.draw(tier)
	if s.cost(second) < s.cost(first) {
		return second
	}
	return first
}

// draw returns a random usable endpoint; nil when there is none. An endpoint in
// slow start is accepted with the probability of its weight.
func (s *search) draw(tier []candidate) *candidate {
	var found *candidate
	for range slowStartDraws {
		found = s.usableFrom(tier, s.balancer.randomBelow(len(tier)))
		if found == nil {
			return nil
		}
		weight := s.weight(found)
		if weight >= 1 || s.balancer.chance(weight) {
			return found
		}
	}
	return found
}

// usableFrom returns the first usable endpoint at or after start, wrapping around.
func (s *search) usableFrom(tier []candidate, start int) *candidate {
	for i := range tier {
		index := start + i
		if index >= len(tier) {
			index -= len(tier)
		}
		if s.usable(&tier[index]) {
			return &tier[index]
		}
	}
	return nil
}

func (s *search) usable(c *candidate) bool {
	if c.state.draining(s.now) {
		return false
	}
	if !s.ignoreEjections && c.state.ejected(s.now) {
		return false
	}
	return !slices.Contains(s.exclude, c.endpoint.ID)
}

func (s *search) weight(c *candidate) float64 {
	options := &s.balancer.options
	return c.state.weight(s.now, options.SlowStart, options.SlowStartFloor)
}

// cost rises with the requests outstanding from here and the load reported.
func (s *search) cost(c *candidate) float64 {
	outstanding := float64(max(c.state.outstanding.Load(), 0))
	return (outstanding + 1) * (1 + s.load(c)*reportedLoadWeight)
}

func (s *search) load(c *candidate) float64 {
	return c.state.expectedLoad(s.now, s.balancer.options.LoadHalfLife)
}
