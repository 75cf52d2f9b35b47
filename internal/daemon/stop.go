package daemon

import (
	"context"
	"time"

	"github.com/levertide/levertide/pkg/contain"
)

// leavingNotice is how long a node that is marked as leaving still accepts calls, so
// that the mark reaches the nodes that may send it calls before it refuses any.
const leavingNotice = 2 * time.Second

// stop drains the node: it marks the node as leaving, serves calls until the mark
// has spread, then refuses new calls and waits for those in flight. A step that panics, since the
// state that it needs is half changed, ends no other.
func (d *Daemon) stop() {
	ready := false
	d.containStep(d.node.SetLeaving)
	d.containStep(func() { ready, _ = d.node.Readiness() })
	bounded, cancel := context.WithTimeout(context.Background(), leavingNotice+d.settings.DrainBound)
	defer cancel()
	if ready {
		waitFor(bounded, leavingNotice)
	}
	d.containStep(func() { d.plane.Drain(bounded) })
}

func (d *Daemon) containStep(step func()) { contain.Run(contain.Part, "stop", d.panics.Report, step) }

func waitFor(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
