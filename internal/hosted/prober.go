package hosted

import (
	"context"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/levertide/levertide/pkg/workers"
)

const (
	// introductionPause is the pause between two looks whether the worker can be
	// asked, introductionBound how long one answer is waited for, and
	// introductionTries how often a worker that does not answer is asked.
	introductionPause = 10 * time.Millisecond
	introductionBound = 300 * time.Millisecond
	introductionTries = 5
)

// WorkerProbe asks the worker beside the node who it is.
type WorkerProbe interface {
	// Identify returns the worker as it describes itself. The error is
	// ErrUnanswered when no worker that takes requests has answered.
	Identify(ctx context.Context) (workers.Heartbeat, error)
}

// Prober finds out which worker is beside a node that has just started: its
// next heartbeat may be seconds away, and until then nobody could call it. It is a
// suture service, and ends when a worker is known.
type Prober struct {
	probe     WorkerProbe
	documents *Documents
	workers   *workers.Registry
	// introduced is told of the worker that has answered.
	introduced func(ctx context.Context, change workers.Change)
}

// String names the part in events.
func (i *Prober) String() string { return "introduction" }

// Serve asks until a worker is known, or the tries are used up.
func (i *Prober) Serve(ctx context.Context) error {
	for tries := 0; tries < introductionTries && i.workers.Service() == ""; {
		if i.documents.InForce() {
			i.ask(ctx)
			tries++
		}
		sleep(ctx, introductionPause)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return suture.ErrDoNotRestart
}

func (i *Prober) ask(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, introductionBound)
	defer cancel()
	beat, err := i.probe.Identify(bounded)
	if err != nil {
		return
	}
	change, err := i.workers.RegisterProbed(beat, time.Now())
	if err != nil {
		return
	}
	i.introduced(ctx, change)
}
