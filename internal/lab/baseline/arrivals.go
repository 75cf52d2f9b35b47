package baseline

import (
	"context"
	"sync"
	"time"
)

// arrivals notes when each node had each version.
type arrivals struct {
	mutex   sync.Mutex
	nodes   int
	counts  map[uint64]int
	last    map[uint64]time.Time
	changed chan struct{}
}

// newArrivals returns an empty record for a number of nodes.
func newArrivals(nodes int) *arrivals {
	return &arrivals{
		nodes:   nodes,
		counts:  make(map[uint64]int),
		last:    make(map[uint64]time.Time),
		changed: make(chan struct{}),
	}
}

// note takes in that one node, which had the version before, now has another.
func (a *arrivals) note(before, now uint64) {
	at := time.Now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for version := before + 1; version <= now; version++ {
		a.counts[version]++
		a.last[version] = at
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

// await waits until every node has a version. It returns when the last had it
// and how many lack it.
func (a *arrivals) await(ctx context.Context, version uint64) (time.Time, int) {
	for {
		a.mutex.Lock()
		missing, last, changed := a.nodes-a.counts[version], a.last[version], a.changed
		a.mutex.Unlock()
		if missing == 0 {
			return last, 0
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return last, missing
		}
	}
}
