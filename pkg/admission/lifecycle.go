package admission

import (
	"context"
	"time"
)

// slowStartFloor is the share of the slots that a worker gets when it has just
// started.
const slowStartFloor = 0.2

// SetLimits applies limits reported by the worker. A value of zero or less leaves
// that limit unchanged. Requests in flight keep their slots.
func (g *Gate) SetLimits(slots, connections int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	next := g.options
	if slots > 0 {
		next.Slots = slots
	}
	if connections > 0 {
		next.Connections = connections
	}
	g.adopt(next)
}

// Reconfigure replaces the options except for the clock. Requests in flight keep
// their slots and queued requests their places; a slow start in progress ends when
// it would have ended.
func (g *Gate) Reconfigure(options Options) {
	options = options.withDefaults()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	options.Now = g.options.Now
	g.adopt(options)
}

// adopt puts new options in force: it recomputes the limit and gives slots that have become
// free to waiters. It is called with the mutex held.
func (g *Gate) adopt(next Options) {
	slotsChanged := next.Slots != g.options.Slots
	g.options = next
	if slotsChanged {
		g.adaptive.reset(next.Slots)
	}
	if next.SlowStart <= 0 {
		g.warmUntil = time.Time{}
	}
	g.refreshLimit()
	g.dispatch()
}

// WorkerStarted reports that the worker has just started: slow start begins, and
// everything learnt about the worker before is discarded. A drain continues.
func (g *Gate) WorkerStarted() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.serviceTime = 0
	g.adaptive.reset(g.options.Slots)
	if g.options.SlowStart > 0 {
		g.warmUntil = g.now().Add(g.options.SlowStart)
	}
	g.refreshLimit()
	g.dispatch()
}

// Resume ends a drain.
func (g *Gate) Resume() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.draining = false
}

// Drain refuses all further requests. Those in flight and those in the queue are
// served.
func (g *Gate) Drain() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.draining = true
	g.signalIdle()
}

// WaitIdle returns nil once the gate is draining and has nothing in flight or
// waiting, or the context's error.
func (g *Gate) WaitIdle(ctx context.Context) error {
	idle := g.idleSignal()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *Gate) idleSignal() <-chan struct{} {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	idle := g.idle
	g.signalIdle()
	return idle
}

// signalIdle wakes the callers of WaitIdle when the gate is draining and no request
// is left.
func (g *Gate) signalIdle() {
	if !g.draining || g.inFlight > 0 || g.queue.length > 0 || g.idle == nil {
		return
	}
	close(g.idle)
	g.idle = nil
}

// refreshLimit recomputes the number of usable slots.
func (g *Gate) refreshLimit() {
	limit := min(g.options.Slots, g.options.Connections)
	if !g.options.FixedLimit {
		limit = min(limit, int(g.adaptive.value))
	}
	g.limit = max(min(limit, g.warmLimit()), 1)
}

// warmLimit returns the number of slots that slow start allows now.
func (g *Gate) warmLimit() int {
	if g.warmUntil.IsZero() {
		return g.options.Slots
	}
	remaining := g.warmUntil.Sub(g.now())
	if remaining <= 0 {
		g.warmUntil = time.Time{}
		return g.options.Slots
	}
	passed := 1 - float64(remaining)/float64(g.options.SlowStart)
	share := slowStartFloor + (1-slowStartFloor)*passed
	return int(share * float64(g.options.Slots))
}
