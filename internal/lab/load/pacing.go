package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// pacing starts calls at the times of a Poisson process.
type pacing struct {
	rate     float64 // calls a second
	duration time.Duration
	seed     uint64
	lateness *meter // nil when lateness is not measured
}

// run calls start at each scheduled time, in a goroutine of its own, and waits for all of them.
func (p pacing) run(ctx context.Context, start func(index int, moment time.Time)) {
	random := rand.New(rand.NewPCG(p.seed, uint64(p.rate)))
	var calls sync.WaitGroup
	defer calls.Wait()
	began := time.Now()
	elapsed := time.Duration(0)
	for index := 0; ; index++ {
		gap := random.ExpFloat64() / p.rate
		elapsed += time.Duration(gap * float64(time.Second))
		moment := began.Add(elapsed) // a new variable for each call, since the call's goroutine captures it
		if elapsed > p.duration || !sleepUntil(ctx, moment) {
			return
		}
		if p.lateness != nil {
			p.lateness.record(time.Since(moment))
		}
		calls.Go(func() { start(index, moment) })
	}
}

// sleepUntil waits until moment; it returns false when the context ended first.
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
