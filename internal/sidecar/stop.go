package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/fleet"
)

// stopName names the planned stop in events.
const stopName = "stop"

// Version is the program's version, set by the linker.
var Version = "unknown"

// stop carries out a planned stop. The node is unready at once and asks callers to
// close their connections, but still accepts calls until the platform has noticed;
// the worker is served meanwhile. Then other nodes route their calls elsewhere,
// nothing more is accepted from callers, even from those that never stop sending
// calls, and the process ends when nothing is in flight, or when drain-bound is
// reached.
func (n *Node) stop() {
	began := time.Now()
	n.stopping.Store(true)
	n.plane.Leave()
	bounded, cancel := context.WithDeadline(context.Background(), began.Add(n.settings.DrainBound-stopMargin))
	defer cancel()
	wait(bounded, time.Until(began.Add(n.settings.StopNotice)))
	var ending sync.WaitGroup
	ending.Go(func() { n.containStep(func() { n.callerListener.shutdown(bounded) }) })
	n.containStep(func() { n.agent.AnnounceStop(bounded, fleet.StateLeaving) })
	wait(bounded, rerouteTime)
	n.plane.Stop()
	ending.Wait()
	_ = n.plane.WaitIdle(bounded)
	calls, hops := n.plane.InFlight()
	n.reportDrain(time.Since(began), int(calls+hops))
	n.hopListener.shutdown(bounded)
	n.containStep(func() { n.agent.AnnounceStop(context.Background(), fleet.StateLeft) })
	n.plane.Close()
}

// containStep does a step of a planned stop and contains its panic. A step that panics, since the state
// that it needs is half changed, does not keep the stop from waiting for what is in flight.
func (n *Node) containStep(step func()) { contain.Run(contain.Part, stopName, n.panics.Report, step) }

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
