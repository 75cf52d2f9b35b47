package versionstore

import (
	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/rollout"
)

var namespace = errorx.NewNamespace("levertide.versionstore").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// The types of error of this package. Errors of the store itself, such as
// store.ErrUnreachable, are passed on with their type.
var (
	// ErrConflict tells that the head is no longer what the caller built on.
	// Nothing was written. CurrentHead gives the head found.
	ErrConflict = namespace.NewType("conflict")
	// ErrRolloutInProgress tells that another version is proposed and neither
	// committed nor aborted yet. Nothing was written. CurrentHead gives the head.
	ErrRolloutInProgress = namespace.NewType("rollout_in_progress")
	// ErrStoreRegressed tells that the store holds an older head than was seen
	// before, or another one under the same generation. Nothing was written.
	ErrStoreRegressed = namespace.NewType("store_regressed")
	// ErrVersionNotFound tells that the store holds no record of the version.
	ErrVersionNotFound = namespace.NewType("version_not_found", errorx.NotFound())
	// ErrCorrupt tells that a record cannot be read or does not match its content address.
	ErrCorrupt = namespace.NewType("corrupt")
	// ErrTooLarge tells that a resource or a whole version exceeds the limits.
	ErrTooLarge = namespace.NewType("too_large")
	// ErrInvalidRequest tells that a request can never be carried out.
	ErrInvalidRequest = namespace.NewType("invalid_request")
	// ErrUnknownOutcome tells that an answer was lost and that reading back did
	// not settle in time whether the write took effect. Resolve settles it later.
	ErrUnknownOutcome = namespace.NewType("unknown_outcome")
)

var propertyHead = errorx.RegisterProperty("head")

func withHead(err *errorx.Error, head rollout.Head) error {
	return err.WithProperty(propertyHead, head)
}

// CurrentHead returns the head that the store held when it gave rise to the
// error, if the error carries one.
func CurrentHead(err error) (rollout.Head, bool) {
	value, found := errorx.ExtractProperty(err, propertyHead)
	if !found {
		return rollout.Head{}, false
	}
	head, ok := value.(rollout.Head)
	return head, ok
}
