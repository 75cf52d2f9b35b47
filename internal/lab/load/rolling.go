package load

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/levertide/levertide/internal/lab/worker"
)

const (
	rollingRate              = 100 // calls a second of each kind
	rollingColdStart         = time.Second
	rollingSuffix            = "-replacement"
	rollingStopBound         = 2 * time.Minute
	rollingConcurrentUploads = 3
	rollingUploadBytes       = 4 << 20
	rollingUploadTime        = 5 * time.Second
	// rollingTail is how long calls go on after the last replacement.
	rollingTail = 3 * time.Second
)

// rollingRun replaces every worker and node while calls go on.
type rollingRun struct {
	options                  Options
	mesh                     *mesh
	transport                *http.Transport
	target                   atomic.Pointer[string]
	unrepeatable, repeatable *tally
	uploads                  *tally
	seen                     executions
	killed                   int
}

func measureRolling(ctx context.Context, options Options) (*Rolling, error) {
	config := worker.Config{Slots: options.Slots, Service: options.Service, ColdStart: rollingColdStart}
	m, err := startMesh(ctx, options, config, serviceShape{
		slots: options.Slots, queue: 2 * options.Slots, slowStart: rollingColdStart,
	})
	if err != nil {
		return nil, err
	}
	defer m.close()
	run := newRollingRun(options, m)
	defer run.transport.CloseIdleConnections()
	return run.measure(ctx, config)
}

func newRollingRun(options Options, m *mesh) *rollingRun {
	run := &rollingRun{
		options: options, mesh: m, transport: newTransport(),
		unrepeatable: newTally(), repeatable: newTally(), uploads: newTally(), seen: executions{},
	}
	address := m.gateway.callerAddress()
	run.target.Store(&address)
	return run
}

func (r *rollingRun) measure(ctx context.Context, config worker.Config) (*Rolling, error) {
	began := time.Now()
	calling, stop := context.WithCancel(ctx)
	var load sync.WaitGroup
	load.Go(func() { r.makeCalls(ctx, calling) })
	load.Go(func() { r.makeUploads(ctx, calling) })
	replaced, err := r.replaceAll(ctx, config)
	sleepUntil(ctx, time.Now().Add(min(rollingTail, r.options.Duration)))
	stop()
	load.Wait()
	if err != nil {
		return nil, err
	}
	closed := closedConnections(r.mesh.workers())
	r.seen.collect(r.mesh.workers()...)
	uploads := r.uploads.result(r.seen)
	result := &Rolling{
		Replaced: replaced, Seconds: time.Since(began).Seconds(),
		Once: r.unrepeatable.result(r.seen), Any: r.repeatable.result(r.seen),
		UploadsStarted: uploads.Calls, UploadsWhole: uploads.Answered, UploadReasons: uploads.Reasons, Killed: r.killed,
		ClosedConnections: closed,
	}
	fmt.Fprintf(r.options.Progress, "rolling: %+v\n", *result)
	return result, nil
}

// closedConnections returns how many connections workers closed because they were at their limit.
func closedConnections(workers []*worker.Worker) int {
	sum := 0
	for _, w := range workers {
		_, totals := w.Records()
		sum += totals.ClosedConnections
	}
	return sum
}

// makeCalls starts calls until the context calling ends; calls in flight then run to their end.
func (r *rollingRun) makeCalls(ctx, calling context.Context) {
	endless := pacing{rate: 2 * rollingRate, duration: time.Hour, seed: r.options.Seed}
	endless.run(calling, func(index int, moment time.Time) {
		c := call{
			id:     fmt.Sprintf("any-%d", index),
			method: http.MethodGet, host: serviceHost, path: callerPath,
			target: *r.target.Load(), deadline: callTimeout,
		}
		into := r.repeatable
		if index%2 == 0 {
			c.id = fmt.Sprintf("post%s%d", unrepeatableMark, index)
			c.method, c.host, c.size = http.MethodPost, unrepeatableHost, smallBodyBytes
			into = r.unrepeatable
		}
		into.add(c.id, c.do(ctx, r.transport), time.Since(moment))
	})
}

// makeUploads keeps several slow uploads in flight until the context calling ends. An upload that
// is refused for overload is retried, as the callers of such uploads do: what is measured is
// whether a replacement cuts uploads off.
func (r *rollingRun) makeUploads(ctx, calling context.Context) {
	var uploads sync.WaitGroup
	for uploader := range rollingConcurrentUploads {
		uploads.Go(func() {
			for index := 0; calling.Err() == nil; index++ {
				began := time.Now()
				c := call{
					id:     fmt.Sprintf("upload%s%d-%d", unrepeatableMark, uploader, index),
					method: http.MethodPost, host: unrepeatableHost, path: "/receipts",
					target: *r.target.Load(), size: rollingUploadBytes,
					pace: min(rollingUploadTime, r.options.Duration),
				}
				r.uploads.add(c.id, c.doRetryingOverload(ctx, r.transport), time.Since(began))
			}
		})
	}
	uploads.Wait()
}

// replaceAll replaces the workers with their nodes one after another, and then the gateway;
// callers switch to the new gateway before the old one stops. It returns how many machines it
// replaced.
func (r *rollingRun) replaceAll(ctx context.Context, config worker.Config) (int, error) {
	old := append([]member(nil), r.mesh.members...)
	for index, item := range old {
		if err := r.mesh.addMember(ctx, index, r.options.Zones, config, rollingSuffix); err != nil {
			return index, err
		}
		if err := r.mesh.fleet.settle(ctx); err != nil {
			return index, err
		}
		r.stopNode(item.node)
		if err := item.worker.Stop(ctx); err != nil {
			return index, err
		}
	}
	replacement, err := r.mesh.fleet.start(ctx, nodeSpec{id: gatewayID + rollingSuffix, zone: zoneName(0), gateway: true})
	if err != nil {
		return len(old), err
	}
	if err := r.mesh.fleet.settle(ctx); err != nil {
		return len(old), err
	}
	address := replacement.callerAddress()
	r.target.Store(&address)
	r.stopNode(r.mesh.gateway)
	r.mesh.gateway = replacement
	return len(old) + 1, nil
}

func (r *rollingRun) stopNode(old node) {
	if !old.stop(rollingStopBound) {
		r.killed++
	}
}

// failures lists the effects that a planned stop must not have.
func (r *Rolling) failures() []string {
	var failures []string
	if r.Once.Unknown > 0 {
		failures = append(failures, fmt.Sprintf("rolling: %d calls failed that cannot be repeated safely, workers closed %d connections for want of room: %v",
			r.Once.Unknown, r.ClosedConnections, r.Once.UnknownCalls))
	}
	if r.UploadsWhole < r.UploadsStarted {
		failures = append(failures, fmt.Sprintf("rolling: %d of %d uploads were not answered: %v",
			r.UploadsStarted-r.UploadsWhole, r.UploadsStarted, r.UploadReasons))
	}
	if r.Killed > 0 {
		failures = append(failures, fmt.Sprintf("rolling: %d nodes did not end by themselves", r.Killed))
	}
	return failures
}
