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

// ReportingFault makes the health and load endpoints report stale or false values.
type ReportingFault struct {
	// LagMilliseconds is how old the reported figures may be.
	LagMilliseconds int `json:"lag_ms,omitempty"`
	// Healthy and Load, when set, are reported instead of the actual state.
	Healthy *bool        `json:"healthy,omitempty"`
	Load    *LoadFigures `json:"load,omitempty"`
}

// gauge grants the slots, counts running and waiting requests and holds the figures last reported.
type gauge struct {
	mutex          sync.Mutex
	slots          int
	queue          int
	running        int
	waiting        []chan struct{}
	draining       bool
	reportingFault ReportingFault
	reported       reportedState
}

type reportedState struct {
	at      time.Time
	healthy bool
	load    LoadFigures
}

// admission is the result of a request for a slot.
type admission uint8

const (
	admissionGranted admission = iota
	admissionQueueFull
	admissionDraining
	admissionAbandoned
)

// acquire takes a slot, and waits for one if the queue is not full.
func (g *gauge) acquire(ctx context.Context) admission {
	g.mutex.Lock()
	if g.draining {
		g.mutex.Unlock()
		return admissionDraining
	}
	if g.running < g.slots {
		g.running++
		g.mutex.Unlock()
		return admissionGranted
	}
	if len(g.waiting) >= g.queue {
		g.mutex.Unlock()
		return admissionQueueFull
	}
	turn := make(chan struct{})
	g.waiting = append(g.waiting, turn)
	g.mutex.Unlock()
	return g.await(ctx, turn)
}

func (g *gauge) await(ctx context.Context, turn chan struct{}) admission {
	select {
	case <-turn:
		return admissionGranted
	case <-ctx.Done():
	}
	g.mutex.Lock()
	index := slices.Index(g.waiting, turn)
	if index >= 0 {
		g.waiting = slices.Delete(g.waiting, index, index+1)
	}
	g.mutex.Unlock()
	if index < 0 {
		g.release()
	}
	return admissionAbandoned
}

// release passes the slot to the request that has waited longest, or frees it.
func (g *gauge) release() {
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

func (g *gauge) setReportingFault(m ReportingFault) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.reportingFault = m
}

// report returns what the health and load endpoints answer.
func (g *gauge) report(now time.Time) (healthy bool, load LoadFigures) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	lag := time.Duration(g.reportingFault.LagMilliseconds) * time.Millisecond
	if now.Sub(g.reported.at) >= lag {
		g.reported = reportedState{
			at:      now,
			healthy: !g.draining,
			load:    LoadFigures{Slots: g.slots, Busy: g.running},
		}
	}
	healthy, load = g.reported.healthy, g.reported.load
	if g.reportingFault.Healthy != nil {
		healthy = *g.reportingFault.Healthy
	}
	if g.reportingFault.Load != nil {
		load = *g.reportingFault.Load
	}
	return healthy, load
}
