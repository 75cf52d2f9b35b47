package forwarding

import (
	"context"
	"time"

	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/quarantine"
	"github.com/levertide/levertide/pkg/slotqueue"
	"github.com/levertide/levertide/pkg/workers"
)

// A crashing request, which crashes each worker that runs it, must not be offered to one worker
// after the other, by any node. The node beside a worker detects that it has ended, and reports
// to the others all requests that the worker had in progress (package quarantine says how these
// are weighed).

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

// crashedElsewhere records that the worker beside another node has ended while it ran the call,
// which was offered with the given level: the next offer must carry the higher level, and the
// other node may fail before it reports the crash.
func (c *call) crashedElsewhere(incarnation workers.Incarnation, level int) {
	c.plane.config.Quarantine.Crashed(c.fingerprint(), incarnation.String(), level, time.Now())
}

// suspicion returns how many crashes count against a request for a worker, from what is known
// here and what the node where it began has reported, and whether it is quarantined.
func (p *Plane) suspicion(call *workerCall, reported int) (level int, quarantined bool) {
	if p.config.Quarantine.Empty() {
		return reported, false
	}
	level, quarantined = p.config.Quarantine.Level(call.fingerprint(), time.Now())
	return max(level, reported), quarantined
}

// crashed records that a worker has ended with a request in progress.
func (p *Plane) crashed(incarnation workers.Incarnation, call *workerCall) {
	report, _ := p.config.Quarantine.Crashed(call.fingerprint(), incarnation.String(), call.level, time.Now())
	p.config.Evidence([]quarantine.Report{report})
}

// answeredComplete records that a worker has answered a request completely: the request does not
// crash workers.
func (p *Plane) answeredComplete(call *workerCall) {
	if p.config.Quarantine.Empty() {
		return
	}
	p.giveBack(func() {
		if report, updated := p.config.Quarantine.Answered(call.fingerprint(), time.Now()); updated {
			p.config.Evidence([]quarantine.Report{report})
		}
	})
}

// isolate waits until the worker has no other suspect in progress.
func (w *workerClient) isolate(ctx context.Context, latestStart time.Time) error {
	switch {
	case w.crashes.Isolate(ctx, latestStart):
		return nil
	case ctx.Err() != nil:
		return admissionFailure(ctx, slotqueue.ErrAbandoned.New("the call ended while another suspect ran"))
	default:
		return outcome.WithRetryAfter(outcome.Overloaded, defaultRetryAfter)
	}
}

// ended reports whether the worker has ended after a connection to it was lost.
func (w *workerClient) ended(ctx context.Context) bool {
	ended := w.crashes.Ended(ctx, w.address)
	if ended {
		w.pause(unreachablePause)
	}
	return ended
}
