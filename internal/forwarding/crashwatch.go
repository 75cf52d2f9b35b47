package forwarding

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/singleflight"
)

const (
	// lossGrace is how long after a lost connection the others of the worker are waited
	// for: when it has ended, all are lost at the same moment.
	lossGrace = 10 * time.Millisecond
	// questionAfterLoss bounds the connection that asks whether a worker is there: it
	// is on the same machine.
	questionAfterLoss = 100 * time.Millisecond
)

// crashWatch counts the requests that a worker has in hand. The zero value is ready.
type crashWatch struct {
	mu     sync.Mutex
	inHand int
	// none is closed when the worker has nothing in hand any more; nil while it has
	// nothing.
	none chan struct{}
	// asking shares one question among all requests that are lost together.
	asking singleflight.Group
}

func (w *crashWatch) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.inHand == 0 {
		w.none = make(chan struct{})
	}
	w.inHand++
}

func (w *crashWatch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.inHand--; w.inHand == 0 {
		close(w.none)
		w.none = nil
	}
}

// allEnd reports whether everything that the worker has in hand ends within the given
// time.
func (w *crashWatch) allEnd(bound time.Duration) bool {
	w.mu.Lock()
	none := w.none
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

// ended reports whether the worker, of which a connection was lost, has ended: all its
// connections are lost, and it takes no new one. A lost connection alone says little: it
// may be one answer that was cut short.
func (l *workerLeg) ended(ctx context.Context) bool {
	if !l.crashes.allEnd(lossGrace) {
		return false
	}
	refused, _, _ := l.crashes.asking.Do("", func() (any, error) {
		return l.refusesConnections(context.WithoutCancel(ctx)), nil
	})
	if refused.(bool) {
		l.quietUntil.Store(time.Now().Add(unreachablePause).UnixNano())
	}
	return refused.(bool)
}

// refusesConnections reports whether nobody listens at the worker's address.
func (l *workerLeg) refusesConnections(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, questionAfterLoss)
	defer cancel()
	conn, err := l.plane.config.Dial(bounded, "tcp", l.worker.Address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
