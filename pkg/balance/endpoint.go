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

	outstanding atomic.Int64
	loadBits    atomic.Uint64 // float64, the last load reported
	loadAt      atomic.Int64
	// loadWith is how many requests were outstanding from here at that time, and
	// shareBits (float64) how much load one request is taken to add.
	loadWith     atomic.Int64
	shareBits    atomic.Uint64
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

const (
	// shareDrift is how fast the load of one request may be thought larger.
	shareDrift = 0.001
	// largestShare bounds it, which stands for a worker of three slots.
	largestShare = 0.25
)

// expectedLoad returns the last load reported, aged, and what the requests sent
// since then must have added to it: in a burst no report comes in time. It is
// never less than what the requests outstanding from here must make up.
func (s *endpointState) expectedLoad(now int64, halfLife time.Duration) float64 {
	at := s.loadAt.Load()
	if at == noTime {
		return 0
	}
	load := math.Float64frombits(s.loadBits.Load())
	age := float64(max(now-at, 0)) / float64(halfLife)
	outstanding := s.outstanding.Load()
	since := float64(max(outstanding-s.loadWith.Load(), 0))
	share := math.Float64frombits(s.shareBits.Load())
	expected := max(load*math.Exp2(-age)+since*share, float64(outstanding)*share)
	return min(expected, 1)
}

// reportLoad takes a report that came while with requests were outstanding.
func (s *endpointState) reportLoad(load float64, with int64, now int64) {
	load = min(max(load, 0), 1)
	s.loadBits.Store(math.Float64bits(load))
	s.loadWith.Store(with)
	s.loadAt.Store(now)
	s.learnShare(load / float64(max(with, 1)))
}

// learnShare follows the smallest load for each request of our own, which is
// that of a moment without requests of others. Updates that cross may be lost.
func (s *endpointState) learnShare(sample float64) {
	share := math.Float64frombits(s.shareBits.Load())
	if share == 0 || sample < share {
		share = sample
	} else {
		share += (sample - share) * shareDrift
	}
	s.shareBits.Store(math.Float64bits(min(share, largestShare)))
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
