package soak

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/levertide/levertide/pkg/slotqueue"
)

const (
	// fastWorker and slowWorker are the run times of the two kinds of workers, relative
	// to Options.RunTime.
	fastWorker = 0.5
	slowWorker = 1.25
	// slowPeriod, slowPeriodShare and slowPeriodFactor describe slow periods: time is divided
	// into periods of this length, in this share of them the worker is slower than its
	// own usual, and by this factor.
	slowPeriod       = 600 * time.Millisecond
	slowPeriodShare  = 0.15
	slowPeriodFactor = 2.5
	// slownessHeader carries a worker's slowness, in hundredths.
	slownessHeader = "X-Slowness"
	slownessUnits  = 100
)

// slowness is a worker's run time relative to Options.RunTime, which varies over time.
type slowness struct {
	usual float64
	// reported is set if the worker reports its slowness.
	reported bool

	mu     sync.Mutex
	factor float64
	until  time.Time
}

// newSlowness draws the kind of a worker. One of four does not report its slowness.
func newSlowness() *slowness {
	s := &slowness{usual: slowWorker, reported: rand.IntN(4) > 0}
	if rand.IntN(2) == 0 {
		s.usual = fastWorker
	}
	return s
}

// at returns the slowness at a moment.
func (s *slowness) at(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.After(s.until) {
		s.factor, s.until = 1, now.Add(slowPeriod)
		if rand.Float64() < slowPeriodShare {
			s.factor = slowPeriodFactor
		}
	}
	return s.usual * s.factor
}

// report writes the slowness into the header of an answer, if the worker reports it.
func (s *slowness) report(header http.Header, now time.Time) {
	if s.reported {
		header.Set(slownessHeader, strconv.Itoa(int(slownessUnits*s.at(now))))
	}
}

// workerLoad reads the load that workers of the soak report in their answers.
func workerLoad(header http.Header) (slotqueue.Load, bool) {
	hundredths, err := strconv.Atoi(header.Get(slownessHeader))
	return slotqueue.Load{Slots: workerSlots, Slowness: float64(hundredths) / slownessUnits}, err == nil
}
