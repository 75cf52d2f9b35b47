package dataplane

import (
	"context"
	"sync/atomic"
	"time"
)

// inFlight counts the calls or connections in progress. One goroutine can wait for
// the count to reach zero.
type inFlight struct {
	calls atomic.Int64
	total atomic.Int64
	zero  chan struct{}
}

func newInFlight() inFlight { return inFlight{zero: make(chan struct{}, 1)} }

func (f *inFlight) enter() {
	f.total.Add(1)
	f.calls.Add(1)
}

// count returns how many are in flight, entered how many there have been in total.
func (f *inFlight) count() int     { return int(f.calls.Load()) }
func (f *inFlight) entered() int64 { return f.total.Load() }

func (f *inFlight) leave() {
	if f.calls.Add(-1) > 0 {
		return
	}
	select {
	case f.zero <- struct{}{}:
	default:
	}
}

// wait returns nil once nothing is in flight, or the context's error. One
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

// DrainReport describes how a drain ended.
type DrainReport struct {
	// Duration is how long the drain took.
	Duration time.Duration
	// CallerCalls and PeerCalls are the calls that were still in flight when the
	// bound was reached; zero when all ended by themselves.
	CallerCalls, PeerCalls int
}

// Clean reports whether every call ended by itself.
func (r DrainReport) Clean() bool { return r.CallerCalls == 0 && r.PeerCalls == 0 }

// Drain takes the node out of service. It immediately refuses calls from other
// nodes as not-run, and closes each connection after the next answer on it.
// Callers are still served until Limits.DrainNotice has passed and the worker has
// no request left, since the worker may need to call others to finish those. Then
// callers are refused too. Drain returns when no call is in flight and the
// connections are closed: by other nodes when they see that the node is leaving,
// by callers after their next request. It waits for idle connections no longer
// than Limits.DrainConnections, and for calls that never end no longer than the
// context. The servers may be shut down afterwards. Drain must be called once.
func (p *Plane) Drain(ctx context.Context) DrainReport {
	began := time.Now()
	p.draining.Store(true)
	p.config.Observer.DrainStarted(p.callerCalls.count() + p.peerCalls.count())
	if p.worker != nil {
		p.worker.gate.Drain()
	}
	if p.drainWorker(ctx) == nil {
		p.closing.Store(true)
		_ = p.callerCalls.wait(ctx)
		p.drainConnections(ctx)
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

// drainWorker waits until DrainNotice has passed and the worker is idle.
func (p *Plane) drainWorker(ctx context.Context) error {
	noticeEnd := time.Now().Add(p.limits.DrainNotice)
	if err := p.peerCalls.wait(ctx); err != nil {
		return err
	}
	if p.worker != nil {
		if err := p.worker.gate.WaitIdle(ctx); err != nil {
			return err
		}
	}
	pause(ctx, time.Until(noticeEnd))
	return ctx.Err()
}

// drainConnections waits for other nodes and for callers to close their
// connections. If this node closed them, a request could be on its way on one of
// them. Each answer of a draining node ends its connection, so what stays open is
// idle.
func (p *Plane) drainConnections(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, p.limits.DrainConnections)
	defer cancel()
	p.drainPeerConnections(bounded)
	_ = p.callerConnections.wait(bounded)
}

// drainPeerConnections waits until other nodes have closed their connections
// and opened no further ones for DrainIdle.
func (p *Plane) drainPeerConnections(ctx context.Context) {
	for p.peerConnections.wait(ctx) == nil {
		before := p.peerConnections.entered()
		if !pause(ctx, p.limits.DrainIdle) || p.peerConnections.entered() == before {
			return
		}
	}
}

// pause waits for a duration and reports whether it passed before the context was
// done.
func pause(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
