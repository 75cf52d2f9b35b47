package balance

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Endpoint is one worker, by the node beside it.
type Endpoint struct {
	// ID names the node. What was seen of an endpoint is kept by its ID.
	ID string
	// Zone and Region say where it is.
	Zone   string
	Region string
	// Address is host:port of the node's listener for calls.
	Address string
	// Leaving endpoints get no requests.
	Leaving bool
	// Incarnation rises with each start; what was seen of a former one is forgotten.
	Incarnation uint64
}

// endpointState is what is known of one incarnation of an endpoint. Times are
// nanoseconds since the balancer was made.
type endpointState struct {
	id          string
	incarnation uint64

	outstanding  atomic.Int64
	loadBits     atomic.Uint64 // float64
	loadAt       atomic.Int64
	slowFrom     atomic.Int64 // noTime: warm
	drainUntil   atomic.Int64
	ejectedUntil atomic.Int64

	mutex       sync.Mutex
	failures    int // in a row
	samples     int
	failureRate float64
	ejections   int
}

// noTime stands for a moment long past.
const noTime = math.MinInt64

func newEndpointState(endpoint Endpoint) *endpointState {
	s := &endpointState{id: endpoint.ID, incarnation: endpoint.Incarnation}
	s.loadAt.Store(noTime)
	s.slowFrom.Store(noTime)
	s.drainUntil.Store(noTime)
	s.ejectedUntil.Store(noTime)
	return s
}

func (s *endpointState) draining(now int64) bool { return now < s.drainUntil.Load() }
func (s *endpointState) ejected(now int64) bool  { return now < s.ejectedUntil.Load() }

// reportedLoad returns the last load reported, aged.
func (s *endpointState) reportedLoad(now int64, halfLife time.Duration) float64 {
	at := s.loadAt.Load()
	if at == noTime {
		return 0
	}
	load := math.Float64frombits(s.loadBits.Load())
	age := float64(max(now-at, 0)) / float64(halfLife)
	return load * math.Exp2(-age)
}

func (s *endpointState) reportLoad(load float64, now int64) {
	s.loadBits.Store(math.Float64bits(min(max(load, 0), 1)))
	s.loadAt.Store(now)
}

// weight returns the share, from floor to 1, that slow start allows now.
func (s *endpointState) weight(now int64, slowStart time.Duration, floor float64) float64 {
	from := s.slowFrom.Load()
	if from == noTime || slowStart <= 0 {
		return 1
	}
	passed := float64(now-from) / float64(slowStart)
	if passed >= 1 {
		return 1
	}
	return floor + (1-floor)*max(passed, 0)
}
