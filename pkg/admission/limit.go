package admission

import (
	"context"
	"time"

	"github.com/levertide/levertide/pkg/pace"
)

// SetLimit bounds how many requests are admitted per second, whatever slots are free. Waiting
// requests keep their places, for as long as they may wait.
func (g *Gate) SetLimit(perSecond float64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.pacer == nil {
		g.pacer = pace.New(perSecond, g.now())
	} else {
		g.pacer.SetRate(perSecond, g.now())
	}
	g.paceAlarm.Stop()
	g.dispatch()
}

// RemoveLimit ends the bound of SetLimit.
func (g *Gate) RemoveLimit() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.pacer = nil
	g.paceAlarm.Stop()
	g.dispatch()
}

// SetLeaving states whether the worker itself refuses new requests. While it does, all requests are
// refused; unlike a drain, that ends when the worker takes requests again.
func (g *Gate) SetLeaving(leaving bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.leaving = leaving
	for leaving && g.queue.length > 0 {
		g.queue.popFirst().decide(verdictLeaving)
	}
	g.signalIdle()
}

// ready reports whether a request could be admitted at once. The mutex is held.
func (g *Gate) ready() bool {
	if g.inFlight >= g.limit {
		return false
	}
	return g.pacer == nil || g.queue.length == 0 && g.pacer.Ready(g.now())
}

// pacedWait estimates how long a new request waits for the limit of SetLimit. The mutex is held.
func (g *Gate) pacedWait(priority Priority) time.Duration {
	if g.pacer == nil {
		return 0
	}
	return g.pacer.Wait(g.queue.ahead(priority), g.now())
}

// beyondLimit reports whether the limit of SetLimit surely refuses a new request that may wait for
// so long. The mutex is held.
func (g *Gate) beyondLimit(ctx context.Context, priority Priority) bool {
	wait := g.options.QueueWait
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, deadline.Sub(g.now()))
	}
	return g.pacer != nil && g.pacedWait(priority)+pace.TimerDelay > wait
}

// continueAtPace gives slots to waiters once the limit of SetLimit allows it.
func (g *Gate) continueAtPace() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.paceAlarm.Rung()
	g.dispatch()
}
