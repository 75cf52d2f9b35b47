package dataplane

import (
	"context"
	"sync/atomic"
	"time"
)

// inFlight counts calls and can be waited on to fall to zero.
type inFlight struct {
	calls atomic.Int64
	zero  chan struct{}
}

func newInFlight() inFlight { return inFlight{zero: make(chan struct{}, 1)} }

func (f *inFlight) enter()     { f.calls.Add(1) }
func (f *inFlight) count() int { return int(f.calls.Load()) }

func (f *inFlight) leave() {
	if f.calls.Add(-1) > 0 {
		return
	}
	select {
	case f.zero <- struct{}{}:
	default:
	}
}

// wait returns nil once no call is in flight, or the context's error. One
// goroutine may wait at a time.
func (f *inFlight) wait(ctx context.Context) error {
	for f.count() > 0 {
		select {
		case <-f.zero:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// DrainReport is how a drain ended.
type DrainReport struct {
	// Duration is how long the drain took.
	Duration time.Duration
	// CallerCalls and PeerCalls are the calls that were still in flight when the
	// bound was reached; zero when all ended by themselves.
	CallerCalls, PeerCalls int
}

// Clean reports whether every call ended by itself.
func (r DrainReport) Clean() bool { return r.CallerCalls == 0 && r.PeerCalls == 0 }

// Drain takes the node out of service. At once it refuses calls from other
// nodes as not-run, and closes the connections that its answers go out on.
// Callers are still served, since the worker may need to call others to finish
// what it has: until Limits.DrainNotice has passed and nothing is left at the
// worker. Then they are refused too. Drain returns when no call is in flight or
// the context is done, which is the bound for calls that never end. The servers
// may be shut down after it. It must be called once.
func (p *Plane) Drain(ctx context.Context) DrainReport {
	began := time.Now()
	p.draining.Store(true)
	p.config.Observer.DrainStarted(p.callerCalls.count() + p.peerCalls.count())
	if p.worker != nil {
		p.worker.gate.Load().Drain()
	}
	if p.drainWorker(ctx) == nil {
		p.closing.Store(true)
		_ = p.callerCalls.wait(ctx)
	}
	p.closing.Store(true)
	report := DrainReport{
		Duration:    time.Since(began),
		CallerCalls: p.callerCalls.count(),
		PeerCalls:   p.peerCalls.count(),
	}
	p.config.Observer.DrainFinished(report)
	return report
}

// drainWorker waits for the notice to pass and the worker to be idle.
func (p *Plane) drainWorker(ctx context.Context) error {
	notice := time.NewTimer(p.limits.DrainNotice)
	defer notice.Stop()
	if err := p.peerCalls.wait(ctx); err != nil {
		return err
	}
	if p.worker != nil {
		if err := p.worker.gate.Load().WaitIdle(ctx); err != nil {
			return err
		}
	}
	select {
	case <-notice.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
