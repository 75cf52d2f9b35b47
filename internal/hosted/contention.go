package hosted

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/workers"
)

// Bounds of the probes for instances that contend, a second and at once: another writer may send heartbeats on
// and on. While nobody is confirmed, each answer missed is one more change of the ready instance.
const (
	unconfirmedProbeRate = 1
	confirmedProbeRate   = 0.2
	contendedProbeBurst  = 3
)

// contention decides which of two instances at the address of the worker beside this node runs. The process at
// the address knows: it is asked when a heartbeat would take the place of a ready worker.
type contention struct {
	workers  *workers.Registry
	probe    WorkerProbe
	panicked contain.Report
	// canAsk reports whether the document that says how to ask is in force.
	canAsk func() bool
	// unconfirmed and confirmed limit the probes by whether the worker that would lose its place is confirmed.
	unconfirmed, confirmed *rate.Limiter
}

func newContention(config Config, canAsk func() bool) *contention {
	return &contention{
		workers: config.Workers, probe: config.Probe, panicked: config.Panicked, canAsk: canAsk,
		unconfirmed: rate.NewLimiter(unconfirmedProbeRate, contendedProbeBurst),
		confirmed:   rate.NewLimiter(confirmedProbeRate, contendedProbeBurst),
	}
}

// verdict says whether the instance of a heartbeat runs.
type verdict uint8

const (
	// verdictOpen: nothing contradicts the heartbeat.
	verdictOpen verdict = iota
	// verdictRuns: the process at the address says that it is this instance.
	verdictRuns
	// verdictStaysOut: another worker keeps the place.
	verdictStaysOut
)

// judge decides whether the instance of a ready heartbeat may take the place of the worker that is ready at its
// address, which it returns.
func (c *contention) judge(ctx context.Context, heartbeat workers.Heartbeat) (workers.Worker, verdict) {
	rival, contended := c.workers.Rival(heartbeat, time.Now())
	if !contended {
		return workers.Worker{}, verdictOpen
	}
	running := c.running(ctx, rival.Confirmed)
	switch {
	case running == heartbeat.Instance:
		return rival.Worker, verdictRuns
	case running != "":
		c.workers.Confirm(workers.Incarnation{Instance: running})
		return rival.Worker, verdictStaysOut
	case rival.Confirmed && !rival.Silent:
		// A busy worker may not answer. It keeps by its heartbeats the place that it has by its word.
		return rival.Worker, verdictStaysOut
	default:
		return rival.Worker, verdictOpen
	}
}

// running returns the instance that the process at the address says it is; empty when it was not asked, or did
// not answer.
func (c *contention) running(ctx context.Context, confirmed bool) string {
	limit := c.unconfirmed
	if confirmed {
		limit = c.confirmed
	}
	if !c.canAsk() || !limit.Allow() {
		return ""
	}
	bounded, cancel := context.WithTimeout(ctx, probeBound)
	defer cancel()
	instance := ""
	err := contain.Read("probe of the worker", c.panicked, func() (err error) {
		instance, err = c.probe.Instance(bounded)
		return err
	})
	if err != nil {
		return ""
	}
	return instance
}
