package dataplane

import (
	"context"
	"time"
)

// lifetimeOptions set the time bounds of a call on one node.
type lifetimeOptions struct {
	// Deadline bounds the time until the answer begins; zero when only steps are
	// bounded.
	Deadline time.Time
	// End bounds the call to the last byte of its answer; zero without a bound.
	End time.Time
	// Step bounds each step of a streamed upload and the wait for the answer after it.
	Step time.Duration
	// Suspended returns how long the machine was suspended since a given time.
	Suspended func(since time.Time) time.Duration
	// Interrupt unblocks readers that wait for the caller's body.
	Interrupt func()
}

// lifetime bounds one call in time on one node. Its context is canceled when
// the caller has disconnected or a time bound is exceeded.
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

// shorter returns the shorter of a duration and the time left until a deadline. A
// zero deadline means none.
func shorter(step time.Duration, deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return step
	}
	return max(min(step, time.Until(deadline)), 0)
}

// uploadProgressed is called when a part of a streamed body arrived from the caller.
func (l *lifetime) uploadProgressed() {
	l.timer.Reset(shorter(l.options.Step, l.options.Deadline))
}

// answerProgressed is called when the answer begins and when a part of it has
// arrived, with the bound on the time until the next part.
func (l *lifetime) answerProgressed(stall time.Duration) {
	l.timer.Reset(shorter(stall, l.options.End))
}

// left returns the time that is left until the answer must begin; false when
// there is no such deadline. The monotonic clock does not count the time for which the
// machine was suspended, but the caller does.
func (l *lifetime) left() (time.Duration, bool) {
	if l.options.Deadline.IsZero() {
		return 0, false
	}
	return time.Until(l.options.Deadline) - l.options.Suspended(l.began), true
}

// end stops the timer and cancels what still runs for the call.
func (l *lifetime) end() {
	l.timer.Stop()
	l.cancel(errCallEnded)
}

// admissionContext returns the context for waiting for a slot: it reports the deadline.
func (l *lifetime) admissionContext() context.Context {
	return deadlineContext{Context: l.ctx, deadline: l.options.Deadline}
}

// deadlineContext reports a deadline that is enforced elsewhere.
type deadlineContext struct {
	context.Context
	deadline time.Time
}

// Deadline implements context.Context.
func (c deadlineContext) Deadline() (time.Time, bool) { return c.deadline, !c.deadline.IsZero() }
