// Package crashwatch watches what one worker has in hand: it tells the end of the worker
// from the loss of one connection, and has suspects run one at a time there (package
// quarantine says why).
package crashwatch

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/levertide/levertide/internal/httpleg"
)

const (
	// lossGrace is how long after a lost connection the others of the worker are waited
	// for: when it ends, all are lost at the same moment. A process that is short of its
	// share of the processor may see them later, and so the worker is asked before, too.
	lossGrace = 10 * time.Millisecond
	// probeTimeout bounds the connection that asks whether a worker is there: it is on
	// the same machine.
	probeTimeout = 100 * time.Millisecond
)

// Watch watches one worker. Use New.
type Watch struct {
	dial httpleg.DialFunc

	mu       sync.Mutex
	inFlight int
	// idle is closed when the worker has nothing in hand any more; nil while it has
	// nothing.
	idle chan struct{}
	// probes shares one question among all requests that are lost together.
	probes singleflight.Group
	// isolation is held by the one suspect that the worker may have in hand.
	isolation chan struct{}
}

// New returns a Watch that asks for the worker by the given function.
func New(dial httpleg.DialFunc) *Watch {
	return &Watch{dial: dial, isolation: make(chan struct{}, 1)}
}

// Begin counts a request that the worker is given, End one that it has answered or that
// was lost.
func (w *Watch) Begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.inFlight == 0 {
		w.idle = make(chan struct{})
	}
	w.inFlight++
}

// End is told after Begin.
func (w *Watch) End() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.inFlight--; w.inFlight == 0 {
		close(w.idle)
		w.idle = nil
	}
}

// Ended reports whether the worker at an address, of which a connection was lost, has
// ended: it takes no new one. A lost connection alone says little: it may be one answer that
// was cut short. A worker that still takes connections may be about to end: it is asked once
// more when all that it has in hand is lost, too.
func (w *Watch) Ended(ctx context.Context, address string) bool {
	return w.refusesProbe(ctx, address) || w.allEndWithin(lossGrace) && w.refusesProbe(ctx, address)
}

// refusesProbe asks once for all that are lost together.
func (w *Watch) refusesProbe(ctx context.Context, address string) bool {
	refused, _, _ := w.probes.Do(address, func() (any, error) {
		return w.refusesConnection(context.WithoutCancel(ctx), address), nil
	})
	return refused.(bool)
}

// allEndWithin reports whether everything that the worker has in hand ends within the given
// time.
func (w *Watch) allEndWithin(bound time.Duration) bool {
	w.mu.Lock()
	none := w.idle
	w.mu.Unlock()
	if none == nil {
		return true
	}
	timer := time.NewTimer(bound)
	defer timer.Stop()
	select {
	case <-none:
		return true
	case <-timer.C:
		return false
	}
}

// refusesConnection reports whether nobody listens at an address.
func (w *Watch) refusesConnection(ctx context.Context, address string) bool {
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := w.dial(bounded, "tcp", address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Isolate waits until the worker has no other suspect in hand: when it ends, only one
// request that has been in hand where another worker ended can be the cause. Without it,
// innocent requests that are offered again together with the guilty one would go its way.
// It reports false when the given time or the context ends before.
func (w *Watch) Isolate(ctx context.Context, until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case w.isolation <- struct{}{}:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// EndIsolation is told after Isolate has reported true.
func (w *Watch) EndIsolation() { <-w.isolation }
