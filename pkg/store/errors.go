package store

import (
	"time"

	"github.com/joomcode/errorx"
)

// Namespace holds the types of all errors that a Store returns.
var Namespace = errorx.NewNamespace("levertide.store").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// TraitNotWritten marks errors after which the request certainly had no effect.
var TraitNotWritten = errorx.RegisterTrait("not-written")

// The types of error that a Store returns. Only ErrUnknownOutcome leaves open
// whether a write took effect.
var (
	// ErrNotFound tells that the key does not exist.
	ErrNotFound = Namespace.NewType("not_found", TraitNotWritten, errorx.NotFound())
	// ErrConflict tells that a compare failed; nothing was written.
	ErrConflict = Namespace.NewType("conflict", TraitNotWritten)
	// ErrUnreachable tells that the store could not be reached, or that it
	// answered that it does not serve; the request was certainly not carried out.
	ErrUnreachable = Namespace.NewType("unreachable", TraitNotWritten, errorx.Temporary())
	// ErrUnknownOutcome tells that the answer to a write was lost: it may have
	// taken effect, may not have, or may still do so.
	ErrUnknownOutcome = Namespace.NewType("unknown_outcome", errorx.Temporary())
	// ErrRateLimited tells that the store refused the request for its rate.
	// RetryAfter gives the pause that the store asked for.
	ErrRateLimited = Namespace.NewType("rate_limited", TraitNotWritten, errorx.Temporary())
	// ErrSessionGone tells that the session has lapsed or was destroyed.
	ErrSessionGone = Namespace.NewType("session_gone", TraitNotWritten)
	// ErrTooLarge tells that a value or a transaction is larger than the store takes.
	ErrTooLarge = Namespace.NewType("too_large", TraitNotWritten)
	// ErrRefused tells that the store refused the request as malformed or not permitted.
	ErrRefused = Namespace.NewType("refused", TraitNotWritten)
)

var propertyRetryAfter = errorx.RegisterProperty("retry_after")

// RateLimited returns an ErrRateLimited that carries the pause the store asked
// for; zero when it named none.
func RateLimited(retryAfter time.Duration) error {
	return ErrRateLimited.New("the store limits the rate of requests").
		WithProperty(propertyRetryAfter, retryAfter)
}

// RetryAfter returns the pause carried by an ErrRateLimited, or zero.
func RetryAfter(err error) time.Duration {
	value, found := errorx.ExtractProperty(err, propertyRetryAfter)
	if !found {
		return 0
	}
	pause, _ := value.(time.Duration)
	return pause
}

// NotWritten reports whether err tells that the request certainly had no effect.
func NotWritten(err error) bool { return errorx.HasTrait(err, TraitNotWritten) }
