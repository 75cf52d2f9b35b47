package telemetry

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/levertide/levertide/pkg/contain"
)

// The log lines on panics are bounded: a request that makes its handling panic may come again and
// again.
const (
	panicLineInterval = time.Second
	panicLines        = 10
)

// Panics counts and logs the panics that were contained. Use NewPanics.
type Panics struct {
	log      *Log
	lines    *rate.Limiter
	inFlight func() int64

	mu     sync.Mutex
	counts map[contain.Kind]uint64
	// halfChanged is closed with the first panic that may have left shared state half changed.
	halfChanged chan struct{}
	once        sync.Once
}

// NewPanics returns a counter whose log lines say how many calls are in flight.
func NewPanics(log *Log, inFlight func() int64) *Panics {
	return &Panics{
		log: log, lines: rate.NewLimiter(rate.Every(panicLineInterval), panicLines), inFlight: inFlight,
		counts: map[contain.Kind]uint64{}, halfChanged: make(chan struct{}),
	}
}

// Report is called with each panic.
func (p *Panics) Report(contained contain.Panic) {
	p.count(contained.Kind)
	if p.lines.Allow() {
		p.log.PanicContained(contained, p.inFlight())
	}
	if contained.HalfChanged {
		p.once.Do(func() { close(p.halfChanged) })
	}
}

func (p *Panics) count(kind contain.Kind) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts[kind]++
}

// HalfChanged returns a channel that is closed with the first panic that may have left shared state
// half changed.
func (p *Panics) HalfChanged() <-chan struct{} { return p.halfChanged }

// MayBeHalfChanged reports whether there was such a panic.
func (p *Panics) MayBeHalfChanged() bool {
	select {
	case <-p.halfChanged:
		return true
	default:
		return false
	}
}

// Read returns how many panics were contained, by the kind of work.
func (p *Panics) Read() map[contain.Kind]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := map[contain.Kind]uint64{contain.Request: 0, contain.Input: 0, contain.Part: 0, contain.Task: 0}
	for kind, n := range p.counts {
		counts[kind] = n
	}
	return counts
}
