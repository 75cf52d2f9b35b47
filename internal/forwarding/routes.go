package forwarding

import (
	"math/rand/v2"
	"time"

	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/routing"
)

const (
	// routeWeight is the weight of one more observation in the means of a route.
	routeWeight = 0.05
	// startPlaces is the number of positions in the sequence of backends at which a node may
	// begin: operators give weights in percent.
	startPlaces = 100
)

// routeState is what a node keeps of a route across configuration versions.
type routeState struct {
	mutex contain.Mutex
	// credit is, for each service, how far the requests that it has been given are below its share
	// (positive) or above it (negative), times the sum of the weights.
	credit   map[string]float64
	timeouts commonTimeouts
	// work and answerBytes are the means over the observed answers.
	work        time.Duration
	answerBytes float64
	// usual is the mean of the work at a worker of usual speed, from the answers of workers that
	// report their slowness.
	usual time.Duration
}

// routeStates holds the states of all routes ever called.
type routeStates struct {
	mutex  contain.Mutex
	states map[string]*routeState
}

func (r *routeStates) get(name string) *routeState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state, known := r.states[name]
	if !known {
		state = &routeState{credit: map[string]float64{}}
		r.states[name] = state
	}
	return state
}

// pickService returns the service that takes the next request of a route. Each gets its share as
// evenly as possible with undivided requests.
func (s *routeState) pickService(route *routing.Route) string {
	backends := route.Config.Backends
	if len(backends) == 0 {
		return route.ServiceName
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.lacksCredit(backends) {
		s.credit = make(map[string]float64, len(backends))
		// Nodes begin at different positions in the sequence: if each gave its first request to
		// the backend with the highest weight, the others would get none of these.
		for range rand.IntN(startPlaces) {
			s.pick(backends)
		}
	}
	s.forgetOthers(backends)
	return s.pick(backends)
}

// lacksCredit reports whether a backend has no entry in credit: it is new, and has been given no
// request so far. The mutex must be held.
func (s *routeState) lacksCredit(backends []model.Backend) bool {
	for _, backend := range backends {
		if _, known := s.credit[backend.Service]; !known {
			return true
		}
	}
	return false
}

// pick gives the next request to the backend that is furthest below its share. The mutex must be
// held.
func (s *routeState) pick(backends []model.Backend) string {
	total := 0.0
	best := -1
	for index, backend := range backends {
		weight := float64(backend.Weight)
		total += weight
		s.credit[backend.Service] += weight
		if best < 0 || s.credit[backend.Service] > s.credit[backends[best].Service] {
			best = index
		}
	}
	chosen := backends[best].Service
	s.credit[chosen] -= total
	return chosen
}

// forgetOthers removes the credit of services that are no longer backends of the route.
func (s *routeState) forgetOthers(backends []model.Backend) {
	if len(s.credit) <= len(backends) {
		return
	}
	kept := make(map[string]float64, len(backends))
	for _, backend := range backends {
		kept[backend.Service] = s.credit[backend.Service]
	}
	s.credit = kept
}

// expected returns the expected work and the expected size of an answer.
func (s *routeState) expected() (time.Duration, int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.work == 0 {
		return unknownHold, 0
	}
	return s.work, int(s.answerBytes)
}

// atUsualSpeed returns how long work is expected to take at a worker of usual speed. While no
// worker has reported its slowness, it is the mean over all workers; it is never zero.
func (s *routeState) atUsualSpeed() time.Duration {
	if work := s.workSeen(); work > 0 {
		return work
	}
	return unknownHold
}

// workSeen returns the same as atUsualSpeed, but zero as long as no answer was observed.
func (s *routeState) workSeen() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.usual > 0 {
		return s.usual
	}
	return s.work
}

// observeTimeout counts the timeout of a caller and reports whether the caller was refused before
// and retries.
func (s *routeState) observeTimeout(timeout time.Duration) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.timeouts.observe(timeout.Milliseconds())
}

// observe counts an answer of a worker that reports the given slowness, or zero. It returns how
// long the worker took relative to the mean; for a worker that reports its slowness, relative to
// the mean at usual speed times that slowness.
func (s *routeState) observe(work time.Duration, slowness float64, answerBytes int) float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.work == 0 {
		s.answerBytes = float64(answerBytes)
	}
	s.answerBytes += routeWeight * (float64(answerBytes) - s.answerBytes)
	relative := observeWork(&s.work, work)
	if slowness > 0 {
		relative = observeWork(&s.usual, time.Duration(float64(work)/slowness))
	}
	return relative
}

// observeWork adds one observation to a mean, and returns the observation relative to the mean
// before.
func observeWork(mean *time.Duration, work time.Duration) float64 {
	if *mean == 0 {
		*mean = work
		return 1
	}
	relative := float64(work) / float64(max(*mean, time.Microsecond))
	*mean += time.Duration(routeWeight * float64(work-*mean))
	return relative
}
