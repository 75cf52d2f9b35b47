package hosted

import (
	"sync/atomic"

	"golang.org/x/time/rate"

	"github.com/levertide/levertide/pkg/workers"
)

// IgnoredCalls counts the heartbeats and leaves of workers that had no effect, by reason.
type IgnoredCalls struct {
	Heartbeats, Leaves map[workers.IgnoreReason]uint64
}

// ignoredCalls counts and logs the calls of workers that have no effect.
type ignoredCalls struct {
	events Events
	// lines limits the log lines: a worker that is taken for another one calls on and on.
	lines              *rate.Limiter
	heartbeats, leaves map[workers.IgnoreReason]*atomic.Uint64
}

func newIgnoredCalls(events Events) *ignoredCalls {
	c := &ignoredCalls{
		events: events, lines: rate.NewLimiter(rejectionLogRate, rejectionLogBurst),
		heartbeats: map[workers.IgnoreReason]*atomic.Uint64{}, leaves: map[workers.IgnoreReason]*atomic.Uint64{},
	}
	for _, reason := range workers.IgnoreReasons() {
		c.heartbeats[reason], c.leaves[reason] = new(atomic.Uint64), new(atomic.Uint64)
	}
	return c
}

// observe records the effect of a call. Repeated and late heartbeats of the registered incarnation are
// ordinary: they are counted only.
func (c *ignoredCalls) observe(call workers.Heartbeat, change workers.Change) {
	if change.Ignored == "" {
		return
	}
	counters := c.heartbeats
	if call.Draining {
		counters = c.leaves
	}
	counters[change.Ignored].Add(1)
	if change.Ignored != workers.IgnoredSequence && c.lines.Allow() {
		call.Instance = call.Instance[:min(len(call.Instance), longestLoggedName)]
		c.events.WorkerCallIgnored(call, change)
	}
}

// read returns the counts since the node started.
func (c *ignoredCalls) read() IgnoredCalls {
	return IgnoredCalls{Heartbeats: counts(c.heartbeats), Leaves: counts(c.leaves)}
}

func counts(counters map[workers.IgnoreReason]*atomic.Uint64) map[workers.IgnoreReason]uint64 {
	read := make(map[workers.IgnoreReason]uint64, len(counters))
	for reason, counter := range counters {
		read[reason] = counter.Load()
	}
	return read
}

// IgnoredCalls returns the counts since the node started.
func (a *Agent) IgnoredCalls() IgnoredCalls { return a.ignored.read() }
