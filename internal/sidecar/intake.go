package sidecar

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/levertide/levertide/internal/intake"
	"github.com/levertide/levertide/internal/telemetry"
)

// boundLineInterval is the shortest time between two lines on one bound.
const boundLineInterval = 5 * time.Second

// boundLog logs which bounds clients have reached: a crowd reaches them thousands of times.
type boundLog struct {
	log *telemetry.Log

	mu    sync.Mutex
	lines map[boundName]*rate.Limiter
}

type boundName struct {
	pool  string
	bound intake.Bound
}

func newBoundLog(log *telemetry.Log) *boundLog {
	return &boundLog{log: log, lines: map[boundName]*rate.Limiter{}}
}

// reached is called for each client that was closed or refused.
func (b *boundLog) reached(pool string, bound intake.Bound) {
	b.mu.Lock()
	name := boundName{pool, bound}
	lines, known := b.lines[name]
	if !known {
		lines = rate.NewLimiter(rate.Every(boundLineInterval), 1)
		b.lines[name] = lines
	}
	b.mu.Unlock()
	if lines.Allow() {
		b.log.IntakeReached(pool, bound)
	}
}

// Intake returns what clients hold of each listener.
func (n *Node) Intake() []intake.Reading {
	readings := append(n.plane.Intake(), n.messages.Read())
	for _, ledger := range n.auxiliary {
		readings = append(readings, ledger.Read())
	}
	return readings
}
