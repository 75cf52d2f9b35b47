package daemon

import (
	"context"
	"time"
)

// leavingNotice is how long a node that is about to leave goes on as before, so
// that the mark has reached the nodes that may send it calls.
const leavingNotice = 2 * time.Second

// stop ends the calls in an orderly way: the node is marked as leaving, serves
// until the mark has spread, refuses new calls, and waits for those in flight.
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
