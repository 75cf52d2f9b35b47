package worker

import (
	"context"
	"slices"
	"sync"
	"time"
)

// LoadFigures is the answer of the load endpoint.
type LoadFigures struct {
	Slots int `json:"slots"`
	Busy  int `json:"busy"`
}

// ReportingFault makes the health and load endpoints lag or lie.
type ReportingFault struct {
	// LagMilliseconds is how old the figures are.
	LagMilliseconds int `json:"lag_ms,omitempty"`
	// Healthy and Load, when set, are reported whatever is true.
	Healthy *bool        `json:"healthy,omitempty"`
	Load    *LoadFigures `json:"load,omitempty"`
}

// gauge counts running and waiting requests and keeps the figures last reported.
type gauge struct {
	mutex     sync.Mutex
	slots     int
	queue     int
	running   int
	waiting   []chan struct{}
	draining  bool
	misreport ReportingFault
	reported  report
}

type report struct {
	at      time.Time
	healthy bool
	load    LoadFigures
}

// entry is the result of asking for a slot.
type entry uint8

const (
	entryRuns entry = iota
	entryFull
	entryDraining
	entryAbandoned
)

// enter takes a slot, waiting for one if there is room in the queue.
func (g *gauge) enter(ctx context.Context) entry {
	g.mutex.Lock()
	if g.draining {
		g.mutex.Unlock()
		return entryDraining
	}
	if g.running < g.slots {
		g.running++
		g.mutex.Unlock()
		return entryRuns
	}
	if len(g.waiting) >= g.queue {
		g.mutex.Unlock()
		return entryFull
	}
	turn := make(chan struct{})
	g.waiting = append(g.waiting, turn)
	g.mutex.Unlock()
	return g.await(ctx, turn)
}

func (g *gauge) await(ctx context.Context, turn chan struct{}) entry {
	select {
	case <-turn:
		return entryRuns
	case <-ctx.Done():
	}
	g.mutex.Lock()
	index := slices.Index(g.waiting, turn)
	if index >= 0 {
		g.waiting = slices.Delete(g.waiting, index, index+1)
	}
	g.mutex.Unlock()
	if index < 0 {
		g.leave()
	}
	return entryAbandoned
}

// leave gives the slot to the one that has waited longest, or frees it.
func (g *gauge) leave() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if len(g.waiting) == 0 {
		g.running--
		return
	}
	close(g.waiting[0])
	g.waiting = g.waiting[1:]
}

func (g *gauge) busy() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.running
}

func (g *gauge) drain() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.draining = true
}

func (g *gauge) setMisreport(m ReportingFault) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.misreport = m
}

// report returns what the health and load endpoints say.
func (g *gauge) report(now time.Time) (healthy bool, load LoadFigures) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	lag := time.Duration(g.misreport.LagMilliseconds) * time.Millisecond
	if now.Sub(g.reported.at) >= lag {
		g.reported = report{
			at:      now,
			healthy: !g.draining,
			load:    LoadFigures{Slots: g.slots, Busy: g.running},
		}
	}
	healthy, load = g.reported.healthy, g.reported.load
	if g.misreport.Healthy != nil {
		healthy = *g.misreport.Healthy
	}
	if g.misreport.Load != nil {
		load = *g.misreport.Load
	}
	return healthy, load
}
