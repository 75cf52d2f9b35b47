package versionstore

import (
	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/rollout"
)

var namespace = errorx.NewNamespace("levertide.versionstore").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// The error types of this package. Errors of the store itself, such as
// store.ErrUnreachable, are returned with their own type.
var (
	// ErrConflict means that the head is not the one that the caller built on.
	// Nothing was written. CurrentHead returns the head found.
	ErrConflict = namespace.NewType("conflict")
	// ErrRolloutInProgress means that another version is proposed and neither
	// committed nor aborted yet. Nothing was written. CurrentHead returns the head.
	ErrRolloutInProgress = namespace.NewType("rollout_in_progress")
	// ErrStoreRegressed means that the store holds an older head than was seen
	// before, or a different one with the same generation. Nothing was written.
	ErrStoreRegressed = namespace.NewType("store_regressed")
	// ErrVersionNotFound means that the store holds no record of the version.
	ErrVersionNotFound = namespace.NewType("version_not_found", errorx.NotFound())
	// ErrCorrupt means that a record cannot be read or does not match its content address.
	ErrCorrupt = namespace.NewType("corrupt")
	// ErrTooLarge means that a resource or a version exceeds the limits.
	ErrTooLarge = namespace.NewType("too_large")
	// ErrInvalidRequest means that a request can never be carried out.
	ErrInvalidRequest = namespace.NewType("invalid_request")
	// ErrUnknownOutcome means that a response was lost and that reading the store
	// back did not show in time whether the write took effect. Resolve can
	// determine it later.
	ErrUnknownOutcome = namespace.NewType("unknown_outcome")
)

var propertyHead = errorx.RegisterProperty("head")

func withHead(err *errorx.Error, head rollout.Head) error {
	return err.WithProperty(propertyHead, head)
}

// CurrentHead returns the head that the store held when the error occurred, if
// the error carries one.
func CurrentHead(err error) (rollout.Head, bool) {
	value, found := errorx.ExtractProperty(err, propertyHead)
	if !found {
		return rollout.Head{}, false
	}
	head, ok := value.(rollout.Head)
	return head, ok
}
