package balance

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/levertide/levertide/pkg/contain"
)

// Balancer picks endpoints of one service. Use New.
type Balancer struct {
	options Options
	epoch   time.Time
	random  func() uint64

	set    atomic.Pointer[endpointSet]
	update contain.Mutex // serializes Update and ejections
}

// New returns a balancer without endpoints.
func New(options Options) *Balancer {
	options = options.withDefaults()
	b := &Balancer{options: options, epoch: options.Now(), random: rand.Uint64}
	if options.Random != nil {
		b.random = serialized(options.Random)
	}
	return b
}

func serialized(source rand.Source) func() uint64 {
	var mutex sync.Mutex
	return func() uint64 {
		mutex.Lock()
		defer mutex.Unlock()
		return source.Uint64()
	}
}

// Update replaces the set of endpoints. Observations of an endpoint are kept as
// long as its incarnation is the same. IDs must be unique.
func (b *Balancer) Update(endpoints []Endpoint) {
	b.update.Lock()
	defer b.update.Unlock()
	now := b.now()
	set := newEndpointSet(endpoints, b.set.Load(), b.options, now)
	b.readmitBeyondCap(set, now)
	b.set.Store(set)
}

// now returns the nanoseconds since the balancer was created.
func (b *Balancer) now() int64 {
	return int64(b.options.Now().Sub(b.epoch))
}

// randomBelow returns a random number in [0, n); n is positive.
func (b *Balancer) randomBelow(n int) int {
	return int(b.random() % uint64(n))
}

// chance returns true with the given probability.
func (b *Balancer) chance(probability float64) bool {
	const bits = 53
	return float64(b.random()>>(64-bits))/(1<<bits) < probability
}

// Status describes one endpoint as a Balancer sees it.
type Status struct {
	Endpoint    Endpoint
	Outstanding int
	Load        float64
	Weight      float64
	Ejected     bool
	Draining    bool
}

// Statuses returns the endpoints that are not leaving, nearest tier first.
func (b *Balancer) Statuses() []Status {
	set := b.set.Load()
	if set == nil {
		return nil
	}
	now := b.now()
	statuses := make([]Status, 0, set.total)
	for _, tier := range set.tiers {
		for _, c := range tier {
			statuses = append(statuses, b.status(c, now))
		}
	}
	return statuses
}

func (b *Balancer) status(c candidate, now int64) Status {
	return Status{
		Endpoint:    c.endpoint,
		Outstanding: int(c.state.outstanding.Load()),
		Load:        c.state.expectedLoad(now, b.options.LoadHalfLife),
		Weight:      c.state.weight(now, b.options.SlowStart, b.options.SlowStartFloor),
		Ejected:     c.state.ejected(now),
		Draining:    c.state.draining(now),
	}
}
