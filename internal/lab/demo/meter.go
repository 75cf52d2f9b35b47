package demo

import (
	"context"
	"sync"
	"time"

	"github.com/levertide/levertide/internal/lab/mesh"
	"github.com/levertide/levertide/internal/lab/observe"
	"github.com/levertide/levertide/internal/lab/results"
)

// meterInterval is how often the counters of nodes are read.
const meterInterval = 2 * time.Second

// meter sums the control bytes of every node from its metrics, across restarts of
// its process.
type meter struct {
	mesh *mesh.Mesh

	mutex  sync.Mutex
	began  time.Time
	ended  time.Time
	last   map[string]float64
	totals map[string]float64

	cancel context.CancelFunc
	done   chan struct{}
}

// newMeter returns a meter that has not read any counters yet.
func newMeter(measured *mesh.Mesh) *meter {
	return &meter{mesh: measured, last: make(map[string]float64), totals: make(map[string]float64)}
}

// start resets the totals and reads the counters every meterInterval until stop.
func (m *meter) start(ctx context.Context) {
	m.began = time.Now()
	m.mesh.ResetStoreCounters()
	m.readAll(ctx)
	m.mutex.Lock()
	clear(m.totals)
	m.mutex.Unlock()
	reading, cancel := context.WithCancel(ctx)
	m.cancel, m.done = cancel, make(chan struct{})
	go func() {
		defer close(m.done)
		ticker := time.NewTicker(meterInterval)
		defer ticker.Stop()
		for {
			select {
			case <-reading.Done():
				return
			case <-ticker.C:
				m.readAll(reading)
			}
		}
	}()
}

// stop reads the counters a last time and ends the measurement.
func (m *meter) stop(ctx context.Context) {
	m.cancel()
	<-m.done
	m.readAll(ctx)
	m.ended = time.Now()
}

// readAll reads the counters of every running node.
func (m *meter) readAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, meterInterval)
	defer cancel()
	var reading sync.WaitGroup
	for _, node := range m.mesh.Nodes() {
		if !node.Running() {
			continue
		}
		reading.Go(func() {
			if counters, err := node.Counters(ctx); err == nil {
				m.add(node.Name, counters.Bytes)
			}
		})
	}
	reading.Wait()
}

// add adds one reading. A reading below the last one means that the process was restarted and
// counts from zero.
func (m *meter) add(node string, bytes float64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	before := m.last[node]
	if bytes < before {
		before = 0
	}
	m.totals[node] += bytes - before
	m.last[node] = bytes
}

// figures returns the spread of the control bytes per second over the nodes, and their total.
func (m *meter) figures() (*results.Spread, *float64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	seconds := m.ended.Sub(m.began).Seconds()
	var rates []float64
	total := 0.0
	for _, bytes := range m.totals {
		rates = append(rates, bytes/seconds)
		total += bytes
	}
	return results.SpreadOf(observe.Distribute(rates)), &total
}
