package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/levertide/levertide/pkg/fleet"
)

// Version is the program's version, set by the linker.
var Version = "unknown"

// stop ends the node as planned. It is unready at once and asks callers to close
// their connections, but still takes what comes until the platform has noticed;
// the worker is served meanwhile. Then other nodes turn elsewhere, nothing more is
// taken from callers, also from those that would go on for ever, and the process
// ends when nothing is in flight, or when the bound is reached.
func (n *Node) stop() {
	began := time.Now()
	n.stopping.Store(true)
	n.plane.Leave()
	bounded, cancel := context.WithDeadline(context.Background(), began.Add(n.settings.DrainBound-stopMargin))
	defer cancel()
	wait(bounded, time.Until(began.Add(n.settings.StopNotice)))
	var ending sync.WaitGroup
	ending.Go(func() { n.callers.shutdown(bounded) })
	n.agent.AnnounceStop(bounded, fleet.StateLeaving)
	wait(bounded, farewellTime)
	n.plane.Stop()
	ending.Wait()
	_ = n.plane.WaitIdle(bounded)
	calls, hops := n.plane.InFlight()
	n.reportDrain(time.Since(began), int(calls+hops))
	n.calls.shutdown(bounded)
	n.agent.AnnounceStop(context.Background(), fleet.StateLeft)
	n.plane.Close()
}

func (n *Node) reportDrain(took time.Duration, inFlight int) {
	if inFlight == 0 {
		n.log.CallsDrained(took)
		return
	}
	n.log.DrainExceeded(took, inFlight)
}

func wait(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
