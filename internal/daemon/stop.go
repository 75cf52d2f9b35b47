package daemon

import (
	"context"
	"time"
)

// leavingNotice is how long a node that is marked as leaving still accepts calls, so
// that the mark reaches the nodes that may send it calls before it refuses any.
const leavingNotice = 2 * time.Second

// stop drains the node: it marks the node as leaving, serves calls until the mark
// has spread, then refuses new calls and waits for those in flight.
func (d *Daemon) stop() {
	d.node.SetLeaving()
	bounded, cancel := context.WithTimeout(context.Background(), leavingNotice+d.settings.DrainBound)
	defer cancel()
	if ready, _ := d.node.Readiness(); ready {
		waitFor(bounded, leavingNotice)
	}
	d.plane.Drain(bounded)
}

func waitFor(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
