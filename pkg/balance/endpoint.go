package balance

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/levertide/levertide/pkg/contain"
)

// Endpoint is one worker, addressed through the node beside it.
type Endpoint struct {
	// ID names the node. Observations of an endpoint are kept by its ID.
	ID string
	// Zone and Region are its location.
	Zone   string
	Region string
	// Address is host:port of the node's listener for calls.
	Address string
	// Leaving endpoints get no requests.
	Leaving bool
	// Incarnation rises with each start. Observations of a previous incarnation are
	// discarded.
	Incarnation uint64
}

// endpointState holds the observations of one incarnation of an endpoint. Times are
// nanoseconds since the balancer was created.
type endpointState struct {
	id          string
	incarnation uint64

	outstanding atomic.Int64
	loadBits    atomic.Uint64 // float64, the last load reported
	loadAt      atomic.Int64
	// outstandingAtReport is how many requests were outstanding from here at that
	// time, and loadPerRequestBits (float64) the estimated load that one request
	// adds.
	outstandingAtReport atomic.Int64
	loadPerRequestBits  atomic.Uint64
	slowFrom            atomic.Int64 // noTime: warm
	drainUntil          atomic.Int64
	ejectedUntil        atomic.Int64

	mutex       contain.Mutex
	failures    int // in a row
	samples     int
	failureRate float64
	ejections   int
}

// noTime is a time before all others.
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
	// loadPerRequestDrift is the weight with which a larger sample raises the
	// estimated load per request.
	loadPerRequestDrift = 0.001
	// maxLoadPerRequest bounds the estimated load per request. It corresponds to a
	// worker of three slots.
	maxLoadPerRequest = 0.25
)

// expectedLoad returns the last load reported, decayed by age, plus what the
// requests sent since then must have added to it: in a burst no report arrives in
// time. It is never less than the load of the requests outstanding from here.
func (s *endpointState) expectedLoad(now int64, halfLife time.Duration) float64 {
	at := s.loadAt.Load()
	if at == noTime {
		return 0
	}
	load := math.Float64frombits(s.loadBits.Load())
	age := float64(max(now-at, 0)) / float64(halfLife)
	outstanding := s.outstanding.Load()
	since := float64(max(outstanding-s.outstandingAtReport.Load(), 0))
	share := math.Float64frombits(s.loadPerRequestBits.Load())
	expected := max(load*math.Exp2(-age)+since*share, float64(outstanding)*share)
	return min(expected, 1)
}

// reportLoad records a load that was reported while the given number of requests
// were outstanding.
func (s *endpointState) reportLoad(load float64, outstanding int64, now int64) {
	load = min(max(load, 0), 1)
	s.loadBits.Store(math.Float64bits(load))
	s.outstandingAtReport.Store(outstanding)
	s.loadAt.Store(now)
	s.learnLoadPerRequest(load / float64(max(outstanding, 1)))
}

// learnLoadPerRequest updates the estimated load per request. A smaller sample replaces
// the estimate at once, since samples are smallest when no other node has requests at the
// endpoint; a larger one raises it by loadPerRequestDrift. Concurrent updates may be lost.
func (s *endpointState) learnLoadPerRequest(sample float64) {
	share := math.Float64frombits(s.loadPerRequestBits.Load())
	if share == 0 || sample < share {
		share = sample
	} else {
		share += (sample - share) * loadPerRequestDrift
	}
	s.loadPerRequestBits.Store(math.Float64bits(min(share, maxLoadPerRequest)))
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
