package dataplane

import (
	"context"
	"time"
)

// lifetimeOptions say how a call is bounded on one node.
type lifetimeOptions struct {
	// Deadline bounds the time until the answer begins; zero when only steps are
	// bounded.
	Deadline time.Time
	// End bounds the call to the last byte of its answer; zero without a bound.
	End time.Time
	// Step bounds each step of a streamed upload and the wait for the answer after it.
	Step time.Duration
	// Suspended returns for how long the machine was suspended since a moment.
	Suspended func(since time.Time) time.Duration
	// Interrupt frees whoever waits for the caller's body.
	Interrupt func()
}

// lifetime bounds one call in time on one node. Its context is canceled when
// the caller is gone or the time is over.
type lifetime struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	timer   *time.Timer
	options lifetimeOptions
	began   time.Time
}

func newLifetime(parent context.Context, options lifetimeOptions) *lifetime {
	ctx, cancel := context.WithCancelCause(parent)
	l := &lifetime{ctx: ctx, cancel: cancel, options: options, began: time.Now()}
	l.timer = time.AfterFunc(shorter(options.Step, options.Deadline), l.expire)
	return l
}

func (l *lifetime) expire() {
	l.cancel(errDeadline)
	l.options.Interrupt()
}

// shorter returns the shorter of a time and what is left to a deadline. A zero
// deadline is none.
func shorter(step time.Duration, deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return step
	}
	return max(min(step, time.Until(deadline)), 0)
}

// uploadProgressed is called when a part of a streamed body came from the caller.
func (l *lifetime) uploadProgressed() {
	l.timer.Reset(shorter(l.options.Step, l.options.Deadline))
}

// answerProgressed is called with the bound on silence when the answer begins and
// when a part of it came.
func (l *lifetime) answerProgressed(stall time.Duration) {
	l.timer.Reset(shorter(stall, l.options.End))
}

// left returns the time that is left until the answer must begin; false when
// there is no such deadline. The steady clock does not count the time for which the
// machine was suspended, and the caller does.
func (l *lifetime) left() (time.Duration, bool) {
	if l.options.Deadline.IsZero() {
		return 0, false
	}
	return time.Until(l.options.Deadline) - l.options.Suspended(l.began), true
}

// end frees what the lifetime holds and cancels what still runs for the call.
func (l *lifetime) end() {
	l.timer.Stop()
	l.cancel(errCallEnded)
}

// admissionContext returns the context to wait for a slot with: it knows the deadline.
func (l *lifetime) admissionContext() context.Context {
	return deadlineContext{Context: l.ctx, deadline: l.options.Deadline}
}

// deadlineContext tells a deadline that is enforced elsewhere.
type deadlineContext struct {
	context.Context
	deadline time.Time
}

// Deadline implements context.Context.
func (c deadlineContext) Deadline() (time.Time, bool) { return c.deadline, !c.deadline.IsZero() }
