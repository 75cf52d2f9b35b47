package slotqueue

import (
	"time"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("slotqueue")

	// ErrFull is the type of errors for requests that could not start in time.
	ErrFull = namespace.NewType("full").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	// ErrClosed is the type of errors for requests to a queue that was closed.
	ErrClosed = namespace.NewType("closed").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	// ErrAbandoned is the type of errors for requests whose caller stopped waiting.
	ErrAbandoned = namespace.NewType("abandoned").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

	propertyWait = errorx.RegisterProperty("wait")
)

// newFull returns an ErrFull with the wait that a request would have met.
func newFull(wait time.Duration) error {
	return ErrFull.New("no slot is free in time").WithProperty(propertyWait, wait)
}

// WaitOf returns the wait that an ErrFull request would have met.
func WaitOf(err error) time.Duration {
	typed := errorx.Cast(err)
	if typed == nil {
		return 0
	}
	value, _ := typed.Property(propertyWait)
	wait, _ := value.(time.Duration)
	return wait
}
