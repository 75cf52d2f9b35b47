package validation

import (
	"slices"

	"github.com/levertide/levertide/pkg/snapshot"
)

// CheckSnapshot returns ErrInvalid when a snapshot, which may be a restricted
// one, breaks a rule. A node calls it before it stages a version.
func CheckSnapshot(held *snapshot.Snapshot, limits Limits) error {
	return AsError(CheckPart(slices.Collect(held.Resources()), limits))
}
