package hosted

import (
	"context"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/levertide/levertide/pkg/workers"
)

const (
	// probePause is the pause between two looks whether the worker can be
	// asked, introductionBound how long one answer is waited for, and
	// introductionTries how often a worker that does not answer is asked.
	probePause    = 10 * time.Millisecond
	probeBound    = 300 * time.Millisecond
	probeAttempts = 5
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
	// onProbed is told of the worker that has answered.
	onProbed func(ctx context.Context, change workers.Change)
}

// String names the part in events.
func (p *Prober) String() string { return "introduction" }

// Serve asks until a worker is known, or the tries are used up.
func (p *Prober) Serve(ctx context.Context) error {
	for tries := 0; tries < probeAttempts && p.workers.Service() == ""; {
		if p.documents.InForce() {
			p.probeOnce(ctx)
			tries++
		}
		sleep(ctx, probePause)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return suture.ErrDoNotRestart
}

func (p *Prober) probeOnce(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, probeBound)
	defer cancel()
	heartbeat, err := p.probe.Identify(bounded)
	if err != nil {
		return
	}
	change, err := p.workers.RegisterProbed(heartbeat, time.Now())
	if err != nil {
		return
	}
	p.onProbed(ctx, change)
}
