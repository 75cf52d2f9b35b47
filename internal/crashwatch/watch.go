// Package crashwatch watches the requests in flight at one worker: it distinguishes the end of
// the worker from the loss of one connection, and lets suspects run there only one at a time
// (package quarantine says why).
package crashwatch

import (
	"context"
	"errors"
	"syscall"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/pkg/contain"
)

const (
	// lossGrace is how long after a lost connection to a worker the loss of its others is
	// waited for: when the worker ends, all are lost at the same moment. A process that is
	// short of processor time may notice their loss later, and so the worker is also probed
	// before the wait.
	lossGrace = 10 * time.Millisecond
	// probeTimeout bounds the connection attempt that probes whether a worker still listens: it
	// is on the same machine.
	probeTimeout = 100 * time.Millisecond
)

// Watch watches one worker. Use New.
type Watch struct {
	dial httpconn.DialFunc

	mu       contain.Mutex
	inFlight int
	// idle is closed when the last request in flight at the worker ends; nil while none is in
	// flight.
	idle chan struct{}
	// probes shares one probe among all requests that are lost together.
	probes singleflight.Group
	// isolation is held by the one suspect that may be in flight at the worker.
	isolation chan struct{}
}

// New returns a Watch that probes the worker by the given dial function.
func New(dial httpconn.DialFunc) *Watch {
	return &Watch{dial: dial, isolation: make(chan struct{}, 1)}
}

// Begin counts a request that is sent to the worker. End must be called once it was answered
// or lost.
func (w *Watch) Begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.inFlight == 0 {
		w.idle = make(chan struct{})
	}
	w.inFlight++
}

// End counts a request that the worker has answered, or that was lost. Call it once after each
// Begin.
func (w *Watch) End() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.inFlight--; w.inFlight == 0 {
		close(w.idle)
		w.idle = nil
	}
}

// Ended reports whether the worker at an address, to which a connection was lost, has ended:
// then it refuses a new one. A lost connection alone proves little: a single answer may have
// been cut short. A worker that still accepts connections may be about to
// end: it is probed once more when all other requests in flight are lost, too.
func (w *Watch) Ended(ctx context.Context, address string) bool {
	return w.refusesProbe(ctx, address) || w.allEndWithin(lossGrace) && w.refusesProbe(ctx, address)
}

// refusesProbe reports whether the worker refuses a connection. Requests that are lost together
// share one probe.
func (w *Watch) refusesProbe(ctx context.Context, address string) bool {
	refused, _, _ := w.probes.Do(address, func() (any, error) {
		return w.refusesConnection(context.WithoutCancel(ctx), address), nil
	})
	return refused.(bool)
}

// allEndWithin reports whether all requests in flight at the worker end within the given
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

// refusesConnection reports whether nothing listens at an address.
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

// Isolate waits until no other suspect is in flight at the worker. A suspect is a request that
// was in flight at another worker when that one ended. When this worker ends, at most one
// suspect can then be the cause. Without the isolation, innocent requests that are offered
// again together with the crashing one would be quarantined with it. It reports false when the given time is reached or the context ends
// before.
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

// EndIsolation lets the next suspect run. Call it once after Isolate has reported true.
func (w *Watch) EndIsolation() { <-w.isolation }

// InFlight returns how many requests are in flight at the worker.
func (w *Watch) InFlight() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.inFlight
}
