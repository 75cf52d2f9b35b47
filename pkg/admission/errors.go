package admission

import (
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/outcome"
)

// Reason is why a request was refused.
type Reason string

// The reasons.
const (
	// ReasonQueueFull: no slot was free and the queue held requests of the same
	// or a higher priority only.
	ReasonQueueFull Reason = "queue-full"
	// ReasonDisplaced: the request waited and lost its place to one of a higher
	// priority.
	ReasonDisplaced Reason = "displaced"
	// ReasonQueueWait: no slot came free within the longest wait.
	ReasonQueueWait Reason = "queue-wait"
	// ReasonDeadline: the caller's deadline passed, or would have passed, before
	// a slot came free.
	ReasonDeadline Reason = "deadline"
	// ReasonCanceled: the caller canceled the request while it waited.
	ReasonCanceled Reason = "canceled"
	// ReasonLimited: the worker takes only so many requests per second, and the request's turn
	// would come too late.
	ReasonLimited Reason = "limited"
	// ReasonDraining: the worker or its node is draining, or the worker leaves.
	ReasonDraining Reason = "draining"
)

var (
	namespace = errorx.NewNamespace("admission")

	// ErrShed is the type of all refusals. They carry outcome.TraitNotRun.
	ErrShed = namespace.NewType("shed", outcome.TraitNotRun).ApplyModifiers(errorx.TypeModifierOmitStackTrace)

	propertyReason     = errorx.RegisterPrintableProperty("reason")
	propertyRetryAfter = errorx.RegisterPrintableProperty("retry_after")
)

// IsShed reports whether err is a refusal by a Gate.
func IsShed(err error) bool {
	return errorx.IsOfType(err, ErrShed)
}

// ReasonOf returns why err was refused; empty when err is no refusal.
func ReasonOf(err error) Reason {
	value, ok := property(err, propertyReason)
	if !ok {
		return ""
	}
	reason, _ := value.(Reason)
	return reason
}

// RetryAfter returns the time after which a retry at the same gate is worthwhile;
// zero when err is no refusal.
func RetryAfter(err error) time.Duration {
	value, ok := property(err, propertyRetryAfter)
	if !ok {
		return 0
	}
	after, _ := value.(time.Duration)
	return after
}

func property(err error, key errorx.Property) (any, bool) {
	typed := errorx.Cast(err)
	if typed == nil {
		return nil, false
	}
	return typed.Property(key)
}

func newShed(reason Reason, retryAfter time.Duration) error {
	return ErrShed.New("request refused before it ran: %s", reason).
		WithProperty(propertyReason, reason).
		WithProperty(propertyRetryAfter, retryAfter)
}
