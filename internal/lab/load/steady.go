package load

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/levertide/levertide/internal/lab/worker"
)

const (
	smallBodyBytes = 256
	// postEvery makes one call in so many a request that must not be repeated.
	postEvery = 5
	warmUp    = 2 * time.Second
)

// steadyRun holds the state of ModeSteady: a mesh, and an equal set of workers for direct calls,
// so that direct calls and calls through the mesh do not compete for slots.
type steadyRun struct {
	options   Options
	mesh      *mesh
	direct    []*worker.Worker
	transport *http.Transport
}

func measureSteady(ctx context.Context, options Options) ([]Step, error) {
	config := worker.Config{Slots: options.Slots, Service: options.Service}
	m, err := startMesh(ctx, options, config, serviceShape{slots: options.Slots, queue: 2 * options.Slots})
	if err != nil {
		return nil, err
	}
	defer m.close()
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
	r.round(ctx, r.options.Rates[0], 0, min(warmUp, r.options.Duration))
	var steps []Step
	for _, rate := range r.options.Rates {
		step := r.step(ctx, rate)
		steps = append(steps, step)
		logStep(r.options, step)
	}
	return steps
}

// round holds the measurements of one part of a step.
type round struct {
	direct, through *tally
	lateness        *meter
}

// step measures one rate in rounds.
func (r *steadyRun) step(ctx context.Context, rate float64) Step {
	direct, through, lateness := newTally(), newTally(), newMeter()
	step := Step{RatePerNode: rate}
	usedBefore, _ := r.mesh.processorTime()
	began := time.Now()
	for index := range r.options.Rounds {
		part := r.round(ctx, rate, index+1, r.options.Duration/time.Duration(r.options.Rounds))
		direct.merge(part.direct)
		through.merge(part.through)
		lateness.merge(part.lateness)
		added := difference(part.through.times.quantiles(), part.direct.times.quantiles())
		if added != nil {
			step.AddedRounds = append(step.AddedRounds, *added)
		}
	}
	step.Seconds = time.Since(began).Seconds()
	step.Direct = direct.result(executionsOf(r.direct))
	step.Through = through.result(executionsOf(r.mesh.workers()))
	step.DirectMS = direct.times.quantiles()
	step.ThroughMS = through.times.quantiles()
	step.LatenessMS = lateness.quantiles()
	step.AddedMS = medians(step.AddedRounds)
	if used, ok := r.mesh.processorTime(); ok && used > usedBefore {
		perCore := float64(step.Through.Calls) / (used - usedBefore).Seconds()
		step.CallsPerCoreSecond = &perCore
	}
	return step
}

// round makes direct calls and calls through the mesh at the same time, each at
// the given rate.
func (r *steadyRun) round(ctx context.Context, rate float64, number int, duration time.Duration) round {
	part := round{direct: newTally(), through: newTally(), lateness: newMeter()}
	seed := r.options.Seed + 2*uint64(number)
	done := make(chan struct{})
	go func() {
		defer close(done)
		pacing{rate: rate, duration: duration, seed: seed, lateness: part.lateness}.run(ctx,
			func(index int, moment time.Time) {
				target := r.direct[index%len(r.direct)].Address()
				r.issue(ctx, part.direct, target, number, index, moment)
			})
	}()
	pacing{rate: rate, duration: duration, seed: seed + 1, lateness: part.lateness}.run(ctx,
		func(index int, moment time.Time) {
			r.issue(ctx, part.through, r.mesh.gateway.callerAddress(), number, index, moment)
		})
	<-done
	return part
}

// issue makes one call; one in postEvery is a POST that must not be repeated.
func (r *steadyRun) issue(ctx context.Context, into *tally, target string, number, index int, moment time.Time) {
	c := call{
		id:     fmt.Sprintf("any-%d-%d", number, index),
		method: http.MethodGet,
		target: target, host: serviceHost, path: callerPath,
		deadline: callTimeout,
	}
	if index%postEvery == 0 {
		c.id = fmt.Sprintf("post%s%d-%d", unrepeatableMark, number, index)
		c.method, c.host, c.size = http.MethodPost, unrepeatableHost, smallBodyBytes
	}
	ended := c.do(ctx, r.transport)
	into.add(c.id, ended, time.Since(moment))
}
