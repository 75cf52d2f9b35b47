package load

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/levertide/levertide/internal/lab/worker"
)

const (
	overloadServiceMedian = 40 * time.Millisecond
	overloadServiceSigma  = 0.3
	overloadDeadline      = 500 * time.Millisecond
	longestStep           = 5 * time.Second
	pauseBetween          = 2 * time.Second
	// unbounded is a number of slots or queue places that is never reached, so that nothing is refused.
	unbounded = 10_000
	// callerPath is the path of small requests.
	callerPath = "/balances"
)

// overloadMultiples are the offered loads, as multiples of the workers' capacity.
var overloadMultiples = []float64{0.5, 0.8, 1, 1.5, 2, 3}

// measureOverload runs the same loads twice: with admission, where the node knows the slots and the
// worker refuses requests beyond them, and without admission, where the node forwards everything
// and the worker queues it. All workers are in one zone, because without admission nodes observe
// no load that would make calls spill over to another zone.
func measureOverload(ctx context.Context, options Options) (*Overload, error) {
	service := worker.Distribution{Median: overloadServiceMedian, Sigma: overloadServiceSigma}
	slots := options.Slots
	options.Zones = 1
	result := &Overload{
		CapacityPerSecond: float64(options.Workers*slots) / service.Mean().Seconds(),
		DeadlineMS:        float64(overloadDeadline.Milliseconds()),
	}
	config := worker.Config{Slots: slots, Service: service}
	var err error
	shape := serviceShape{slots: slots, queue: 2 * slots}
	if result.Admission, err = overloadPoints(ctx, options, config, shape, result.CapacityPerSecond); err != nil {
		return nil, err
	}
	config.Queue = unbounded
	shape = serviceShape{slots: unbounded, queue: unbounded}
	if result.NoAdmission, err = overloadPoints(ctx, options, config, shape, result.CapacityPerSecond); err != nil {
		return nil, err
	}
	result.ShareWith = shareOfPeak(result.Admission)
	result.ShareWithout = shareOfPeak(result.NoAdmission)
	return result, nil
}

func overloadPoints(ctx context.Context, options Options, config worker.Config, shape serviceShape, capacity float64) ([]OverloadPoint, error) {
	m, err := startMesh(ctx, options, config, shape)
	if err != nil {
		return nil, err
	}
	defer m.close()
	transport := newTransport()
	defer transport.CloseIdleConnections()
	var points []OverloadPoint
	for _, multiple := range overloadMultiples {
		point := overloadPoint(ctx, options, m, transport, multiple, capacity)
		points = append(points, point)
		fmt.Fprintf(options.Progress, "overload %.1f, slots %d: goodput %.0f/s of %.0f/s, %+v\n",
			multiple, shape.slots, point.GoodputPerSecond, point.OfferedPerSecond, point.Counts)
		if !sleepUntil(ctx, time.Now().Add(pauseBetween)) {
			return points, ctx.Err()
		}
	}
	return points, nil
}

func overloadPoint(ctx context.Context, options Options, m *mesh, transport *http.Transport, multiple, capacity float64) OverloadPoint {
	seen := newTally()
	var good atomic.Int64
	duration := min(options.Duration, longestStep)
	pacing{rate: multiple * capacity, duration: duration, seed: options.Seed}.run(ctx,
		func(index int, moment time.Time) {
			c := call{
				id:     fmt.Sprintf("overload-%d", index),
				method: http.MethodGet, host: serviceHost, path: callerPath,
				target:   m.gateway.callerAddress(),
				deadline: overloadDeadline,
			}
			ended := c.do(ctx, transport)
			length := time.Since(moment)
			seen.add(c.id, ended, length)
			if ended.kind == resultAnswered && length <= overloadDeadline {
				good.Add(1)
			}
		})
	counts := seen.result(executionsOf(m.workers()))
	return OverloadPoint{
		Multiple:         multiple,
		OfferedPerSecond: float64(counts.Calls) / duration.Seconds(),
		GoodputPerSecond: float64(good.Load()) / duration.Seconds(),
		Counts:           counts,
		AnsweredMS:       seen.times.quantiles(),
	}
}

// shareOfPeak returns the goodput of the last point divided by the highest goodput.
func shareOfPeak(points []OverloadPoint) *float64 {
	peak := 0.0
	for _, point := range points {
		peak = max(peak, point.GoodputPerSecond)
	}
	if peak == 0 {
		return nil
	}
	share := points[len(points)-1].GoodputPerSecond / peak
	return &share
}
