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
	rollingRate       = 100 // calls a second of each kind
	rollingCold       = time.Second
	rollingSuffix     = "-replacement"
	rollingStopBound  = 2 * time.Minute
	rollingAtOnce     = 3 // uploads
	rollingUpload     = 4 << 20
	rollingUploadTime = 5 * time.Second
	// rollingTail is how long calls go on after the last replacement.
	rollingTail = 3 * time.Second
)

// rollingRun replaces every worker and node while calls go on.
type rollingRun struct {
	options   Options
	mesh      *mesh
	transport *http.Transport
	target    atomic.Pointer[string]
	once, any *tally
	uploads   *tally
	seen      executions
	killed    int
}

func measureRolling(ctx context.Context, options Options) (*Rolling, error) {
	config := worker.Config{Slots: options.Slots, Service: options.Service, ColdStart: rollingCold}
	m, err := startMesh(ctx, options, config, serviceShape{
		slots: options.Slots, queue: 2 * options.Slots, slowStart: rollingCold,
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
		once: newTally(), any: newTally(), uploads: newTally(), seen: executions{},
	}
	address := m.gateway.callerAddress()
	run.target.Store(&address)
	return run
}

func (r *rollingRun) measure(ctx context.Context, config worker.Config) (*Rolling, error) {
	began := time.Now()
	calling, stop := context.WithCancel(ctx)
	var load sync.WaitGroup
	load.Go(func() { r.callOn(ctx, calling) })
	load.Go(func() { r.uploadOn(ctx, calling) })
	replaced, err := r.replaceAll(ctx, config)
	sleepUntil(ctx, time.Now().Add(min(rollingTail, r.options.Duration)))
	stop()
	load.Wait()
	if err != nil {
		return nil, err
	}
	closed := closedConnections(r.mesh.workers())
	r.seen.take(r.mesh.workers()...)
	uploads := r.uploads.result(r.seen)
	result := &Rolling{
		Replaced: replaced, Seconds: time.Since(began).Seconds(),
		Once: r.once.result(r.seen), Any: r.any.result(r.seen),
		UploadsStarted: uploads.Calls, UploadsWhole: uploads.Answered, UploadReasons: uploads.Reasons, Killed: r.killed,
		ClosedConnections: closed,
	}
	fmt.Fprintf(r.options.Progress, "rolling: %+v\n", *result)
	return result, nil
}

// closedConnections adds up what workers closed for want of room.
func closedConnections(workers []*worker.Worker) int {
	sum := 0
	for _, w := range workers {
		_, totals := w.Records()
		sum += totals.ClosedConnections
	}
	return sum
}

// callOn makes calls until calling ends; calls under way end by themselves.
func (r *rollingRun) callOn(ctx, calling context.Context) {
	endless := pacing{rate: 2 * rollingRate, duration: time.Hour, seed: r.options.Seed}
	endless.run(calling, func(index int, moment time.Time) {
		c := call{
			id:     fmt.Sprintf("any-%d", index),
			method: http.MethodGet, host: serviceHost, path: callerPath,
			target: *r.target.Load(), deadline: callTimeout,
		}
		into := r.any
		if index%2 == 0 {
			c.id = fmt.Sprintf("post%s%d", onceMark, index)
			c.method, c.host, c.size = http.MethodPost, onceHost, smallBody
			into = r.once
		}
		into.add(c.id, c.do(ctx, r.transport), time.Since(moment))
	})
}

// uploadOn keeps some slow uploads under way until calling ends. One that is refused for
// overload comes again, as the callers of such uploads do: what is measured is whether a
// replacement cuts uploads off.
func (r *rollingRun) uploadOn(ctx, calling context.Context) {
	var uploads sync.WaitGroup
	for lane := range rollingAtOnce {
		uploads.Go(func() {
			for index := 0; calling.Err() == nil; index++ {
				began := time.Now()
				c := call{
					id:     fmt.Sprintf("upload%s%d-%d", onceMark, lane, index),
					method: http.MethodPost, host: onceHost, path: "/receipts",
					target: *r.target.Load(), size: rollingUpload,
					pace: min(rollingUploadTime, r.options.Duration),
				}
				r.uploads.add(c.id, c.doThroughOverload(ctx, r.transport), time.Since(began))
			}
		})
	}
	uploads.Wait()
}

// replaceAll replaces the workers with their nodes one after another, and then
// the gateway, to which callers turn before the old one stops.
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

// failures lists what a planned stop must not do.
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
