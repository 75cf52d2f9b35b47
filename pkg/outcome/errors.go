package outcome

import (
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
)

var (
	// TraitNotRun marks error types whose request did not run.
	TraitNotRun = errorx.RegisterTrait("not-run")
	// TraitUnknown marks error types whose request may have run.
	TraitUnknown = errorx.RegisterTrait("unknown")

	namespace = errorx.NewNamespace("call")

	// ErrNotRun is the type of errors for requests that did not run.
	ErrNotRun = namespace.NewType("not_run", TraitNotRun).ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	// ErrUnknown is the type of errors for requests that may have run.
	ErrUnknown = namespace.NewType("unknown", TraitUnknown).ApplyModifiers(errorx.TypeModifierOmitStackTrace)

	propertyReason     = errorx.RegisterProperty("reason")
	propertyRetryAfter = errorx.RegisterProperty("retry_after")
)

// New returns an error of type ErrNotRun or ErrUnknown, as the reason demands.
func New(reason Reason) error {
	return newError(reason)
}

// Wrap is New with the cause attached. The cause is for logs, not for callers.
func Wrap(reason Reason, cause error) error {
	return typeOf(reason).Wrap(cause, "%s", reason.Message()).WithProperty(propertyReason, reason)
}

// WithRetryAfter is New with a time after which a client retry is worthwhile.
func WithRetryAfter(reason Reason, after time.Duration) error {
	return newError(reason).WithProperty(propertyRetryAfter, after)
}

func newError(reason Reason) *errorx.Error {
	return typeOf(reason).New("%s", reason.Message()).WithProperty(propertyReason, reason)
}

func typeOf(reason Reason) *errorx.Type {
	if reason.Outcome() == NotRun {
		return ErrNotRun
	}
	return ErrUnknown
}

// Of returns the outcome that an error represents. Nil is Answered; an error
// that is not of this package is Unknown, which is always safe.
func Of(err error) Outcome {
	switch {
	case err == nil:
		return Answered
	case errorx.HasTrait(err, TraitNotRun):
		return NotRun
	default:
		return Unknown
	}
}

// ReasonOf returns the reason of an error of this package, and NotSpecified
// for any other error.
func ReasonOf(err error) Reason {
	typed := errorx.Cast(err)
	if typed == nil {
		return NotSpecified
	}
	value, _ := typed.Property(propertyReason)
	reason, ok := value.(Reason)
	if !ok {
		return NotSpecified
	}
	return reason
}

// RetryAfterOf returns the time after which a client retry is worthwhile, or zero.
func RetryAfterOf(err error) time.Duration {
	typed := errorx.Cast(err)
	if typed == nil {
		return 0
	}
	value, _ := typed.Property(propertyRetryAfter)
	after, _ := value.(time.Duration)
	return after
}

// SetHeaders writes outcome, reason and, when the error has one, Retry-After in
// whole seconds rounded up. It returns the status to answer with.
func SetHeaders(header http.Header, err error) int {
	reason := ReasonOf(err)
	header[Header] = []string{string(Of(err))}
	header[ReasonHeader] = []string{string(reason)}
	if after := RetryAfterOf(err); after > 0 {
		seconds := (after + time.Second - 1) / time.Second
		header["Retry-After"] = []string{strconv.FormatInt(int64(seconds), 10)}
	}
	return reason.Status()
}
