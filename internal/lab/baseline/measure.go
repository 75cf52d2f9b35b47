package baseline

import (
	"context"
	"sync"
	"time"

	"github.com/levertide/levertide/internal/control"
	"github.com/levertide/levertide/internal/lab/observe"
)

// publish makes a version visible to nodes.
type publish func(ctx context.Context) (version uint64, began time.Time, err error)

// Bounds of a run.
const (
	startBound   = 2 * time.Minute
	arrivalBound = 30 * time.Second
)

// measured is a run of a baseline while it goes on.
type measured struct {
	options  Options
	arrivals *arrivals
	traffic  []*control.Traffic
	server   *control.Traffic
}

// newMeasured returns a run that has measured nothing.
func newMeasured(options Options) *measured {
	started := &measured{
		options:  options,
		arrivals: newArrivals(len(options.Nodes)),
		server:   control.NewTraffic(),
	}
	for range options.Nodes {
		started.traffic = append(started.traffic, control.NewTraffic())
	}
	return started
}

// run publishes the base configuration and then every change, and measures.
func (m *measured) run(ctx context.Context, next publish) (Result, error) {
	starting, cancel := context.WithTimeout(ctx, startBound)
	defer cancel()
	version, _, err := next(starting)
	if err != nil {
		return Result{}, err
	}
	if _, missing := m.arrivals.await(starting, version); missing > 0 {
		return Result{}, ErrBaseline.New("%d nodes did not get the base configuration", missing)
	}
	return m.changes(ctx, next)
}

// changes publishes every change and measures.
func (m *measured) changes(ctx context.Context, next publish) (Result, error) {
	var result Result
	before, serverBefore := m.totals(), m.server.Total().Total()
	began := time.Now()
	for range m.options.Changes {
		until := time.Now().Add(m.options.Interval)
		version, published, err := next(ctx)
		if err != nil {
			return result, err
		}
		waiting, cancel := context.WithTimeout(ctx, arrivalBound)
		last, missing := m.arrivals.await(waiting, version)
		cancel()
		result.Missing += missing
		result.Convergence = append(result.Convergence, observe.Milliseconds(last.Sub(published)))
		pause(ctx, time.Until(until))
	}
	seconds := time.Since(began).Seconds()
	for i, after := range m.totals() {
		result.Rates = append(result.Rates, float64(after-before[i])/seconds)
	}
	result.ServerRate = float64(m.server.Total().Total()-serverBefore) / seconds
	return result, ctx.Err()
}

// totals returns the bytes of every node so far.
func (m *measured) totals() []uint64 {
	totals := make([]uint64, len(m.traffic))
	for i, traffic := range m.traffic {
		totals[i] = traffic.Total().Total()
	}
	return totals
}

// onEachNode runs something for every node until the context ends, and returns
// what waits for all of them.
func (m *measured) onEachNode(do func(index int, node Node)) *sync.WaitGroup {
	var running sync.WaitGroup
	for i, node := range m.options.Nodes {
		running.Go(func() { do(i, node) })
	}
	return &running
}

// pause waits for a while or until the context ends; false tells that it ended.
func pause(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(max(length, 0))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
