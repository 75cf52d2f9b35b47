package store

import (
	"time"

	"github.com/joomcode/errorx"
)

// Namespace holds the types of all errors that a Store returns.
var Namespace = errorx.NewNamespace("levertide.store").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// TraitNotWritten marks errors that guarantee that the request had no effect.
var TraitNotWritten = errorx.RegisterTrait("not-written")

// The types of error that a Store returns. After each of them except
// ErrUnknownOutcome a write certainly did not take effect.
var (
	// ErrNotFound reports that the key does not exist.
	ErrNotFound = Namespace.NewType("not_found", TraitNotWritten, errorx.NotFound())
	// ErrConflict reports that a comparison failed; nothing was written.
	ErrConflict = Namespace.NewType("conflict", TraitNotWritten)
	// ErrUnreachable reports that the store could not be reached, or that it
	// answered that it is unavailable; the request was certainly not carried out.
	ErrUnreachable = Namespace.NewType("unreachable", TraitNotWritten, errorx.Temporary())
	// ErrUnknownOutcome reports that the answer to a write was lost: the write may
	// have taken effect, may not have, or may still do so.
	ErrUnknownOutcome = Namespace.NewType("unknown_outcome", errorx.Temporary())
	// ErrRateLimited reports that the store refused the request because of its rate
	// limit. RetryAfter returns the pause that the store requested.
	ErrRateLimited = Namespace.NewType("rate_limited", TraitNotWritten, errorx.Temporary())
	// ErrSessionGone reports that the session has lapsed or was destroyed.
	ErrSessionGone = Namespace.NewType("session_gone", TraitNotWritten)
	// ErrTooLarge reports that a value or a transaction is larger than the store accepts.
	ErrTooLarge = Namespace.NewType("too_large", TraitNotWritten)
	// ErrRefused reports that the store refused the request as malformed or not permitted.
	ErrRefused = Namespace.NewType("refused", TraitNotWritten)
)

var propertyRetryAfter = errorx.RegisterProperty("retry_after")

// RateLimited returns an ErrRateLimited that carries the pause that the store
// requested; zero when it requested none.
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

// NotWritten reports whether err guarantees that the request had no effect.
func NotWritten(err error) bool { return errorx.HasTrait(err, TraitNotWritten) }
