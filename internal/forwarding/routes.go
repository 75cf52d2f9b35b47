package forwarding

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/routing"
)

const (
	// routeWeight is the weight of one more observation of a route.
	routeWeight = 0.05
	// startPlaces is how many places there are at which a node may begin to share
	// the requests of a route: operators give weights in parts of a hundred.
	startPlaces = 100
)

// routeState is what a node keeps of a route from version to version.
type routeState struct {
	mutex sync.Mutex
	// passed is, for each service, how much of its share it has been given too
	// little (above zero) or too much.
	credit   map[string]float64
	timeouts commonTimeouts
	// work and answerBytes are means of the answers seen.
	work        time.Duration
	answerBytes float64
	// usual is what work would be at a worker of usual speed, by answers of workers that
	// tell how slow they are.
	usual time.Duration
}

// routeStates are the states of all routes ever called.
type routeStates struct {
	mutex  sync.Mutex
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

// pickService returns the service that takes the next request of a route. Each
// gets its share as evenly as whole requests allow.
func (s *routeState) pickService(route *routing.Route) string {
	backends := route.Config.Backends
	if len(backends) == 0 {
		return route.ServiceName
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.lacksCredit(backends) {
		s.credit = make(map[string]float64, len(backends))
		// Nodes begin at different places of the sequence: if each gave its first
		// request to the heaviest part, the others would get none of them.
		for range rand.IntN(startPlaces) {
			s.pick(backends)
		}
	}
	s.forgetOthers(backends)
	return s.pick(backends)
}

// lacksCredit reports whether there is a part that was given nothing so far. The
// mutex is held.
func (s *routeState) lacksCredit(backends []model.Backend) bool {
	for _, backend := range backends {
		if _, known := s.credit[backend.Service]; !known {
			return true
		}
	}
	return false
}

// pick gives the next request to the part that is furthest behind. The mutex is held.
func (s *routeState) pick(backends []model.Backend) string {
	total := 0
	best := -1
	for index, backend := range backends {
		total += backend.Weight
		s.credit[backend.Service] += float64(backend.Weight)
		if best < 0 || s.credit[backend.Service] > s.credit[backends[best].Service] {
			best = index
		}
	}
	chosen := backends[best].Service
	s.credit[chosen] -= float64(total)
	return chosen
}

// forgetOthers drops the credit of services that the route has left.
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

// expected returns the work and the size of an answer to be expected.
func (s *routeState) expected() (time.Duration, int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.work == 0 {
		return unknownHold, 0
	}
	return s.work, int(s.answerBytes)
}

// atUsualSpeed returns how long work is expected to take at a worker of usual speed. While no
// worker has told its speed it is what work takes at all workers, and never zero.
func (s *routeState) atUsualSpeed() time.Duration {
	if work := s.workSeen(); work > 0 {
		return work
	}
	return unknownHold
}

// workSeen returns the same, and zero as long as no answer was seen.
func (s *routeState) workSeen() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.usual > 0 {
		return s.usual
	}
	return s.work
}

// observeTimeout counts the timeout of a caller and reports whether the caller was
// refused before and comes back.
func (s *routeState) observeTimeout(timeout time.Duration) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.timeouts.observe(timeout.Milliseconds())
}

// observe counts an answer of a worker that tells the given slowness, or zero. It returns
// how long the worker took relative to the mean; of a worker that tells its slowness, relative
// to the mean at usual speed times that.
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

// observeWork counts one more observation in a mean, and returns it relative to that.
func observeWork(mean *time.Duration, work time.Duration) float64 {
	if *mean == 0 {
		*mean = work
		return 1
	}
	relative := float64(work) / float64(max(*mean, time.Microsecond))
	*mean += time.Duration(routeWeight * float64(work-*mean))
	return relative
}
