package control

import (
	"context"
	"errors"
	"sync"

	"github.com/levertide/levertide/pkg/contain"
)

// errEndedByPanic is the error of a call that has panicked.
var errEndedByPanic = errors.New("the call has panicked")

// nextFlight lets all callers that arrive while a call is in progress share the
// next call, so that each gets the result of a call that began after its own
// request.
type nextFlight[Value any] struct {
	// panicked is called with a panic of a call; nil means that nobody is told.
	panicked contain.Report

	mutex   sync.Mutex
	running bool
	waiting *sharedCall[Value]
}

// sharedCall is one call whose result all its callers get.
type sharedCall[Value any] struct {
	call  func() (Value, error)
	done  chan struct{}
	value Value
	err   error
}

// do returns the result of a call that begins after do does. The call itself
// is not bound to the context of any one caller.
func (f *nextFlight[Value]) do(ctx context.Context, call func() (Value, error)) (Value, error) {
	joined := f.join(call)
	select {
	case <-joined.done:
		return joined.value, joined.err
	case <-ctx.Done():
		var none Value
		return none, ctx.Err()
	}
}

func (f *nextFlight[Value]) join(call func() (Value, error)) *sharedCall[Value] {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.waiting == nil {
		f.waiting = &sharedCall[Value]{call: call, done: make(chan struct{})}
	}
	joined := f.waiting
	if !f.running {
		f.running = true
		go f.run()
	}
	return joined
}

// run makes calls until no caller waits for another one.
func (f *nextFlight[Value]) run() {
	for {
		f.mutex.Lock()
		next := f.waiting
		f.waiting = nil
		f.running = next != nil
		f.mutex.Unlock()
		if next == nil {
			return
		}
		next.err = errEndedByPanic
		contain.Run(contain.Task, partName, f.panicked, func() { next.value, next.err = next.call() })
		close(next.done)
	}
}
