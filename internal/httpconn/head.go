package httpconn

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// WorkerHeadTime bounds the time from the first byte of the head of a worker's answer to its
	// end: workers write a head at once, on the machine of the node.
	WorkerHeadTime = 500 * time.Millisecond
	// headSteps is in how many steps the time for a head passes, one after the other: a process that
	// stood still uses up one of them, and then reads what has come meanwhile.
	headSteps = 10
	// maximumInterim bounds the interim answers (1xx) to one request: net/http bounds the size of
	// each, not their number.
	maximumInterim = 16
)

// ErrEndlessHead is the cause of the context of a request that ended because the head of its answer, or
// its interim answers, did not end. The transport may give it as the error of another request, too, which
// has had the connection after that one.
var ErrEndlessHead = errors.New("the head of the answer does not end")

// HeadWatch ends a request whose answer begins and does not come to the end of its head: bytes
// behind the answer before it, for example, which no request could be told from its own. Its
// methods are for the hooks of an httptrace.ClientTrace.
type HeadWatch struct {
	cancel context.CancelCauseFunc
	bound  time.Duration

	mu sync.Mutex
	// timer ends the current step. It is nil while no head is awaited.
	timer   *time.Timer
	steps   int
	interim int
	ended   bool
}

// WatchHead returns a context for one request, and the watch that ends it. The bound is for the time
// from the first byte of the head to its end, while the process runs; zero sets none.
func WatchHead(ctx context.Context, bound time.Duration) (context.Context, *HeadWatch) {
	ctx, cancel := context.WithCancelCause(ctx)
	return ctx, &HeadWatch{cancel: cancel, bound: bound}
}

// Begun is called with the first byte of the answer.
func (w *HeadWatch) Begun() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended && w.bound > 0 {
		w.timer = time.AfterFunc(w.bound/headSteps, w.stepPassed)
	}
}

// stepPassed is called at the end of a step.
func (w *HeadWatch) stepPassed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		return
	}
	w.steps++
	if w.steps == headSteps {
		w.cancel(ErrEndlessHead)
		return
	}
	w.timer.Reset(w.bound / headSteps)
}

// Interim is called for each interim answer, after which the final one may take any time. An error
// ends the request.
func (w *HeadWatch) Interim() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stop()
	w.interim++
	if w.interim > maximumInterim {
		w.cancel(ErrEndlessHead)
		return ErrEndlessHead
	}
	return nil
}

// End is called when the request has its answer, or none.
func (w *HeadWatch) End() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.stop()
}

func (w *HeadWatch) stop() {
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
}
