package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// pacing starts calls at the moments of a Poisson process.
type pacing struct {
	rate     float64 // calls a second
	duration time.Duration
	seed     uint64
	lateness *meter // nil when nobody asks
}

// run calls start in a goroutine of its own at each moment and waits for all.
func (p pacing) run(ctx context.Context, start func(index int, moment time.Time)) {
	random := rand.New(rand.NewPCG(p.seed, uint64(p.rate)))
	var calls sync.WaitGroup
	defer calls.Wait()
	began := time.Now()
	elapsed := time.Duration(0)
	for index := 0; ; index++ {
		gap := random.ExpFloat64() / p.rate
		elapsed += time.Duration(gap * float64(time.Second))
		moment := began.Add(elapsed) // one for each call: calls keep it
		if elapsed > p.duration || !sleepUntil(ctx, moment) {
			return
		}
		if p.lateness != nil {
			p.lateness.record(time.Since(moment))
		}
		calls.Go(func() { start(index, moment) })
	}
}

// sleepUntil reports false when the context ended first.
func sleepUntil(ctx context.Context, moment time.Time) bool {
	left := time.Until(moment)
	if left <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
