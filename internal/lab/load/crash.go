package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/levertide/levertide/internal/lab/worker"
)

// crashPause is the longest time for which calls run before and after each crash.
const crashPause = 5 * time.Second

// measureCrash kills one machine, that is a worker with its node, and then half of all machines at
// once, while calls go on. The platform's list of machines drops them at once; the nodes detect the
// loss by failing calls and missing control messages. All machines are in one zone, so that all
// of them receive calls.
func measureCrash(ctx context.Context, options Options) (*Crash, error) {
	options.Zones = 1
	config := worker.Config{Slots: options.Slots, Service: options.Service}
	m, err := startMesh(ctx, options, config, serviceShape{slots: options.Slots, queue: 2 * options.Slots})
	if err != nil {
		return nil, err
	}
	defer m.close()
	run := newRollingRun(options, m)
	defer run.transport.CloseIdleConnections()
	calling, stop := context.WithCancel(ctx)
	defer stop()
	var load sync.WaitGroup
	load.Go(func() { run.makeCalls(ctx, calling) })
	pause := min(crashPause, options.Duration)
	result := &Crash{}
	for _, machines := range []int{1, max(options.Workers/2, 1)} {
		sleepUntil(ctx, time.Now().Add(pause))
		result.Events = append(result.Events, run.crash(ctx, machines, pause))
		if err := run.replaceCrashed(ctx, config, machines); err != nil {
			return nil, err
		}
	}
	sleepUntil(ctx, time.Now().Add(pause))
	stop()
	load.Wait()
	run.seen.collect(m.workers()...)
	result.Once, result.Any = run.unrepeatable.result(run.seen), run.repeatable.result(run.seen)
	fmt.Fprintf(options.Progress, "crash: %+v\n", *result)
	return result, nil
}

// crash kills the first machines of the mesh at once and measures how long calls then fail.
func (r *rollingRun) crash(ctx context.Context, machines int, pause time.Duration) CrashEvent {
	event := CrashEvent{Machines: machines, Of: len(r.mesh.members)}
	moment := time.Now()
	var killing sync.WaitGroup
	for _, item := range r.mesh.members[:machines] {
		killing.Go(item.worker.Close)
		killing.Go(item.node.kill)
	}
	killing.Wait()
	sleepUntil(ctx, moment.Add(pause))
	failing := max(r.unrepeatable.failedUntil(moment), r.repeatable.failedUntil(moment))
	event.FailingMS = float64(failing) / float64(time.Millisecond)
	return event
}

// replaceCrashed starts as many new machines as crashed, and first collects the execution records
// of the crashed workers.
func (r *rollingRun) replaceCrashed(ctx context.Context, config worker.Config, machines int) error {
	for _, item := range r.mesh.members[:machines] {
		r.seen.collect(item.worker)
	}
	r.mesh.members = r.mesh.members[machines:]
	for index := range machines {
		suffix := fmt.Sprintf("%s-%d-%d", rollingSuffix, machines, index)
		if err := r.mesh.addMember(ctx, index, r.options.Zones, config, suffix); err != nil {
			return err
		}
	}
	return nil
}
