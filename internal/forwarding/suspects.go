package forwarding

import (
	"context"
	"time"

	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/quarantine"
	"github.com/levertide/levertide/pkg/slotqueue"
	"github.com/levertide/levertide/pkg/workers"
)

// A request that crashes each worker which runs it must not be offered to one after the
// other, by any node. The node beside a worker sees it end, and tells the others of all
// requests that the worker had in hand (package quarantine says how these are weighed).

// quarantined reports whether the request of a call is known to crash workers.
func (c *call) quarantined() bool {
	if c.plane.config.Quarantine.Empty() {
		return false
	}
	_, found := c.plane.config.Quarantine.Level(c.fingerprint(), time.Now())
	return found
}

// level returns how many crashes of workers the request of a call is known to have caused.
func (c *call) level() int {
	if c.plane.config.Quarantine.Empty() {
		return 0
	}
	level, _ := c.plane.config.Quarantine.Level(c.fingerprint(), time.Now())
	return level
}

// crashedElsewhere takes that the worker beside another node has ended with the call, which
// was offered with the given level: the next offer must tell, and the other node may not
// live to.
func (c *call) crashedElsewhere(incarnation workers.Incarnation, level int) {
	c.plane.config.Quarantine.Crashed(c.fingerprint(), incarnation.String(), level, time.Now())
}

// suspicion returns how many crashes speak against a request for a worker, by what is
// known here and at the node where it began, and whether it is quarantined.
func (p *Plane) suspicion(call *workerCall, reported int) (level int, quarantined bool) {
	if p.config.Quarantine.Empty() {
		return reported, false
	}
	level, quarantined = p.config.Quarantine.Level(call.fingerprint(), time.Now())
	return max(level, reported), quarantined
}

// crashed takes that a worker has ended with a request in hand.
func (p *Plane) crashed(incarnation workers.Incarnation, call *workerCall) {
	report, _ := p.config.Quarantine.Crashed(call.fingerprint(), incarnation.String(), call.level, time.Now())
	p.config.Evidence([]quarantine.Report{report})
}

// answeredComplete takes that a worker has answered a request: it is none that crashes
// workers.
func (p *Plane) answeredComplete(call *workerCall) {
	if p.config.Quarantine.Empty() {
		return
	}
	if report, updated := p.config.Quarantine.Answered(call.fingerprint(), time.Now()); updated {
		p.config.Evidence([]quarantine.Report{report})
	}
}

// isolate waits until the worker has no other suspect in hand.
func (l *workerConnection) isolate(ctx context.Context, latestStart time.Time) error {
	switch {
	case l.crashes.Isolate(ctx, latestStart):
		return nil
	case ctx.Err() != nil:
		return admissionFailure(ctx, slotqueue.ErrAbandoned.New("the call ended while another suspect ran"))
	default:
		return outcome.WithRetryAfter(outcome.Overloaded, defaultRetryAfter)
	}
}

// ended reports whether the worker, of which a connection was lost, has ended.
func (l *workerConnection) ended(ctx context.Context) bool {
	ended := l.crashes.Ended(ctx, l.worker.Address)
	if ended {
		l.pausedUntil.Store(time.Now().Add(unreachablePause).UnixNano())
	}
	return ended
}
