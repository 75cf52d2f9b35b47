package worker

import (
	"sync"
	"time"
)

// LoadFigures is the answer of the load endpoint.
type LoadFigures struct {
	Slots int `json:"slots"`
	Busy  int `json:"busy"`
}

// Misreport makes the health and load endpoints lag or lie.
type Misreport struct {
	// LagMilliseconds is how old the figures are.
	LagMilliseconds int `json:"lag_ms,omitempty"`
	// Healthy and Load, when set, are reported whatever is true.
	Healthy *bool        `json:"healthy,omitempty"`
	Load    *LoadFigures `json:"load,omitempty"`
}

// gauge counts running requests and keeps the figures last reported.
type gauge struct {
	mutex     sync.Mutex
	slots     int
	running   int
	draining  bool
	misreport Misreport
	reported  report
}

type report struct {
	at      time.Time
	healthy bool
	load    LoadFigures
}

// enter takes a slot. It returns the number of running requests, or false when
// the worker is full or drains.
func (g *gauge) enter() (running int, draining, ok bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.draining || g.running >= g.slots {
		return g.running, g.draining, false
	}
	g.running++
	return g.running, false, true
}

func (g *gauge) leave() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.running--
}

func (g *gauge) drain() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.draining = true
}

func (g *gauge) setMisreport(m Misreport) {
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
