package forwarding

import (
	"context"
	"time"

	"github.com/levertide/levertide/pkg/outcome"
)

// After a loss of power of all machines callers connect as soon as their nodes listen, some tenths of a
// second before these know a configuration and workers. All that came in the second without power
// comes at this moment, most of it for the last time. A call that is refused then is lost, and one
// that waits until the node knows workers is answered, mostly in time.

const (
	// startPeriod is how long after its start a node is taken to know less than there is:
	// nodes of a mesh of 985 know all others within a second of a start of all.
	startPeriod = 3 * time.Second
	// startWaitShare is the share of its time that a call may wait for that: less
	// than half, so that one which cannot be served after all hears it while there is time for
	// another try.
	startWaitShare = 0.45
	// firstStartPause and longestStartPause bound the pauses between two looks. The first
	// is short against the time of an answer; the others grow, since a look may ask some nodes.
	firstStartPause   = 10 * time.Millisecond
	longestStartPause = 80 * time.Millisecond
	// growthPause is how long after the known workers became more a service is taken to be
	// starting: nodes tell each other of workers in batches of up to 0.2 s. Later, a call
	// that finds all full is refused at once: the service is overloaded.
	growthPause = 250 * time.Millisecond
)

// startWait returns how long a call may wait for its node to know workers, given how long ago
// the node has started, how much time the call has and how long its work takes. Zero has it
// refused at once: the node is not starting, or the call cannot be served.
func startWait(age, left, work time.Duration) time.Duration {
	if age >= startPeriod || left <= lastWorkReserve*work {
		return 0
	}
	return min(time.Duration(startWaitShare*float64(left)), left-lastWorkReserve*work)
}

// startFailure is how far a failure may be owed to a start.
type startFailure int

const (
	// otherCause: the failure has another cause.
	otherCause startFailure = iota
	// noWorkerReached: the call has met no worker.
	noWorkerReached
	// allFull: the few workers that are known have no room. When a whole mesh starts all
	// nodes know the same workers first, and all calls go there.
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

// awaitWorkers has a call that was refused wait until another try may find a worker. It
// reports false when the refusal stands.
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

// startPauses are the pauses of a call that waits for its node to start.
type startPauses struct {
	until time.Time
	next  time.Duration
}

// startPauses returns the pauses for a call that began now, of which the time is over then.
func (p *Plane) startPauses(now, end time.Time, work time.Duration) startPauses {
	wait := startWait(now.Sub(p.started), end.Sub(now), work)
	return startPauses{until: now.Add(wait), next: firstStartPause}
}

// pause waits for a moment. It reports false when the call is to wait no longer.
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

// hold has the call wait for a moment. It reports false when the call is to wait no longer.
func (c *call) hold(ctx context.Context, pauses *startPauses) bool {
	if !pauses.pause(ctx) {
		return false
	}
	c.heldUntil = time.Now()
	c.report.Held = c.heldUntil.Sub(c.began)
	return true
}
