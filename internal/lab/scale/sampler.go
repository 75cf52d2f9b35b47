package scale

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/levertide/levertide/internal/lab/hollow"
	"github.com/levertide/levertide/internal/lab/mesh"
)

// sampleInterval is how often processes are asked for what they measured.
const sampleInterval = 5 * time.Second

// readBound is how long reading the metrics of a real process may take.
const readBound = 4 * time.Second

// sampler asks every process for its measurements until its context ends.
type sampler struct {
	cluster *Cluster
	mutex   sync.Mutex
	last    map[string]realReading
}

// run samples until the context ends.
func (s *sampler) run(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	windows := time.NewTicker(readerWindow)
	defer windows.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-windows.C:
			s.cluster.requests.closeWindow()
		case <-ticker.C:
			s.sample(ctx)
		}
	}
}

// sample asks every process once; one that does not answer is left out.
func (s *sampler) sample(ctx context.Context) {
	var asking errgroup.Group
	for i, one := range s.cluster.children {
		asking.Go(func() error {
			reply, err := one.ask(hollow.Request{Sample: &hollow.Sample{}})
			if err == nil && reply.Sample != nil {
				s.cluster.measured.addSeries(s.cluster.layout.zones[i].name, *reply.Sample)
			}
			return nil
		})
	}
	for _, node := range s.cluster.real {
		asking.Go(func() error {
			s.sampleReal(ctx, node)
			return nil
		})
	}
	_ = asking.Wait()
}

// sampleReal reads the counters of one real process.
func (s *sampler) sampleReal(ctx context.Context, node *realNode) {
	ctx, cancel := context.WithTimeout(ctx, readBound)
	defer cancel()
	counters, err := mesh.ReadCounters(ctx, node.at(offsetAdmin))
	now := realReading{at: time.Now(), counters: counters, known: err == nil}
	s.mutex.Lock()
	before := s.last[node.spec.ID]
	s.last[node.spec.ID] = now
	s.mutex.Unlock()
	if now.known {
		s.cluster.measured.addReal(node.spec.ID, before, now)
	}
}
