package load

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/levertide/levertide/internal/lab/worker"
)

const (
	smallBody = 256
	// postEvery makes one call in so many a request that must not be repeated.
	postEvery = 5
	warmUp    = 2 * time.Second
)

// steadyRun holds what ModeSteady needs: a mesh, and as many workers of the same
// kind again for direct calls, so that neither takes the other's slots.
type steadyRun struct {
	options   Options
	mesh      *mesh
	direct    []*worker.Worker
	transport *http.Transport
}

func measureSteady(ctx context.Context, options Options) ([]Step, error) {
	f, err := newFleet(options)
	if err != nil {
		return nil, err
	}
	config := worker.Config{Slots: options.Slots, Service: options.Service}
	m, err := startMesh(ctx, f, options, config, serviceShape{slots: options.Slots, queue: 2 * options.Slots})
	defer m.close()
	if err != nil {
		return nil, err
	}
	run := &steadyRun{options: options, mesh: m, transport: newTransport()}
	defer run.transport.CloseIdleConnections()
	for range options.Workers {
		w, err := worker.Start(config)
		if err != nil {
			return nil, err
		}
		defer w.Close()
		run.direct = append(run.direct, w)
	}
	return run.steps(ctx), nil
}

func (r *steadyRun) steps(ctx context.Context) []Step {
	r.step(ctx, r.options.Rates[0], min(warmUp, r.options.Duration))
	var steps []Step
	for _, rate := range r.options.Rates {
		step := r.step(ctx, rate, r.options.Duration)
		steps = append(steps, step)
		logStep(r.options, step)
	}
	return steps
}

// step measures one rate: direct calls and calls through the mesh at the same
// time, each at that rate.
func (r *steadyRun) step(ctx context.Context, rate float64, duration time.Duration) Step {
	direct, through, lateness := newTally(), newTally(), newMeter()
	usedBefore, _ := r.mesh.processorTime()
	began := time.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		pacing{rate: rate, duration: duration, seed: r.options.Seed, lateness: lateness}.run(ctx,
			func(index int, moment time.Time) {
				target := r.direct[index%len(r.direct)].Address()
				r.issue(ctx, direct, target, "direct", index, moment)
			})
	}()
	pacing{rate: rate, duration: duration, seed: r.options.Seed + 1, lateness: lateness}.run(ctx,
		func(index int, moment time.Time) {
			r.issue(ctx, through, r.mesh.gateway.callerAddress(), "through", index, moment)
		})
	<-done
	step := Step{
		RatePerNode: rate,
		Seconds:     time.Since(began).Seconds(),
		Direct:      direct.result(executionsOf(r.direct)),
		Through:     through.result(executionsOf(r.mesh.workers())),
		DirectMS:    direct.times.quantiles(),
		ThroughMS:   through.times.quantiles(),
		LatenessMS:  lateness.quantiles(),
	}
	step.AddedMS = difference(step.ThroughMS, step.DirectMS)
	if used, ok := r.mesh.processorTime(); ok && used > usedBefore {
		perCore := float64(step.Through.Calls) / (used - usedBefore).Seconds()
		step.CallsPerCoreSecond = &perCore
	}
	return step
}

// issue makes one call; every fifth is a POST that must not be repeated.
func (r *steadyRun) issue(ctx context.Context, into *tally, target, prefix string, index int, moment time.Time) {
	c := call{
		id:     fmt.Sprintf("%s-%d", prefix, index),
		method: http.MethodGet,
		target: target, host: serviceHost, path: callerPath,
		deadline: callTimeout,
	}
	if index%postEvery == 0 {
		c.id = fmt.Sprintf("%s-once-%d", prefix, index)
		c.method, c.host, c.size = http.MethodPost, onceHost, smallBody
	}
	ended := c.do(ctx, r.transport)
	into.add(c.id, ended, time.Since(moment))
}
