package forwarding

import (
	"context"
	"time"

	"github.com/levertide/levertide/pkg/outcome"
)

// After a power failure of all machines callers connect as soon as their nodes listen, some
// tenths of a second before these know a configuration and workers. All calls of the second
// without power arrive at this moment, most of them as the last attempt of their caller. A call
// that is refused then is lost; one that waits until the node knows workers is answered, mostly in
// time.

const (
	// startPeriod is how long after its start a node is assumed to know only a part of the mesh:
	// nodes of a mesh of 985 know all others within a second when all start together.
	startPeriod = 3 * time.Second
	// startWaitShare is the share of its time that a call may wait for its node to start: less
	// than half, so that a call which cannot be served after all is refused while its caller has
	// time for another attempt.
	startWaitShare = 0.45
	// firstStartPause and longestStartPause bound the pauses between two checks. The first is
	// short compared with the time of an answer; the others grow, since a check may make offers
	// to some nodes.
	firstStartPause   = 10 * time.Millisecond
	longestStartPause = 80 * time.Millisecond
	// growthPause is how long a service is assumed to be starting after the number of its known
	// workers last grew: nodes announce workers to each other in batches of up to 0.2 s. Later, a
	// call that finds all workers full is refused at once: the service is overloaded.
	growthPause = 250 * time.Millisecond
)

// startWait returns how long a call may wait for its node to know workers, given the age of the
// node, how much time the call has left and how long its work takes. Zero means that it is
// refused at once: the node is not starting, or the call cannot be served in time.
func startWait(age, left, work time.Duration) time.Duration {
	if age >= startPeriod || left <= lastWorkReserve*work {
		return 0
	}
	return min(time.Duration(startWaitShare*float64(left)), left-lastWorkReserve*work)
}

// startFailure says whether a failure may be caused by a start.
type startFailure int

const (
	// otherCause: the failure is not caused by a start.
	otherCause startFailure = iota
	// noWorkerReached: the call has reached no worker.
	noWorkerReached
	// allFull: the few known workers have no free slots. When a whole mesh starts all nodes know
	// the same workers first, and all calls go there.
	allFull
)

func startFailureOf(err error) startFailure {
	if outcome.Of(err) != outcome.NotRun {
		return otherCause
	}
	switch outcome.ReasonOf(err) {
	case outcome.NotReady, outcome.NoWorker, outcome.Unreachable:
		return noWorkerReached
	case outcome.Overloaded:
		return allFull
	}
	return otherCause
}

// awaitWorkers makes a refused call wait until another attempt may find a worker. It reports
// false when the refusal is final.
func (c *call) awaitWorkers(ctx context.Context, service string, known int, err error, pauses *startPauses) bool {
	switch startFailureOf(err) {
	case noWorkerReached:
		return c.hold(ctx, pauses)
	case allFull:
		for {
			now, grewAt := c.plane.destination(service).known()
			switch {
			case now > known:
				return true
			case time.Since(grewAt) > growthPause || !c.hold(ctx, pauses):
				return false
			}
		}
	}
	return false
}

// startPauses holds the pauses of a call that waits for its node to start.
type startPauses struct {
	until time.Time
	next  time.Duration
}

// startPauses returns the pauses for a call that began at now and ends at end.
func (p *Plane) startPauses(now, end time.Time, work time.Duration) startPauses {
	wait := startWait(now.Sub(p.started), end.Sub(now), work)
	return startPauses{until: now.Add(wait), next: firstStartPause}
}

// pause waits until the next check. It reports false when the call must not wait any longer.
func (s *startPauses) pause(ctx context.Context) bool {
	left := time.Until(s.until)
	if left <= 0 {
		return false
	}
	timer := time.NewTimer(min(s.next, left))
	defer timer.Stop()
	s.next = min(2*s.next, longestStartPause)
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// awaitConfiguration returns the configuration in force; nil when there is none in time.
func (c *call) awaitConfiguration(timeout time.Duration) *Configuration {
	pauses := c.plane.startPauses(c.began, c.began.Add(timeout), unknownHold)
	for {
		configuration := c.plane.config.Current()
		if configuration != nil || !c.hold(c.request.Context(), &pauses) {
			return configuration
		}
	}
}

// hold makes the call wait until the next check. It reports false when the call must not wait any
// longer.
func (c *call) hold(ctx context.Context, pauses *startPauses) bool {
	if !pauses.pause(ctx) {
		return false
	}
	c.heldUntil = time.Now()
	c.report.Held = c.heldUntil.Sub(c.began)
	return true
}
