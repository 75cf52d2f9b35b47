package hosted

import (
	"context"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/workers"
)

const (
	// probePause is the interval between checks whether the worker can be probed, probeBound the
	// timeout of one probe, and probeAttempts how often a worker that does not answer is probed.
	probePause    = 10 * time.Millisecond
	probeBound    = 300 * time.Millisecond
	probeAttempts = 5
)

// WorkerProbe asks the worker beside the node to identify itself.
type WorkerProbe interface {
	// Identify returns the worker's description of itself. The error is ErrUnanswered when no
	// worker that accepts requests has answered.
	Identify(ctx context.Context) (workers.Heartbeat, error)
	// Instance returns the instance that answers, also of a worker that does not describe itself further.
	// The error is as that of Identify.
	Instance(ctx context.Context) (string, error)
}

// Prober registers the worker beside a node that has just started: its next heartbeat may be
// seconds away, and until then the worker could not be called. It is a suture service, and ends
// when a worker is known.
type Prober struct {
	probe     WorkerProbe
	documents *Documents
	workers   *workers.Registry
	panicked  contain.Report
	// onProbed is called with the registration of the worker that has answered.
	onProbed func(ctx context.Context, change workers.Change)
}

// String returns the name of the service in events.
func (p *Prober) String() string { return "introduction" }

// Serve probes until a worker is known or all attempts are used up.
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
	var heartbeat workers.Heartbeat
	err := contain.Read("probe of the worker", p.panicked, func() (err error) {
		heartbeat, err = p.probe.Identify(bounded)
		return err
	})
	if err != nil {
		return
	}
	change, err := p.workers.RegisterProbed(heartbeat, time.Now())
	if err != nil {
		return
	}
	p.onProbed(ctx, change)
}
