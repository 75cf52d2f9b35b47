// Package applied describes the outcome of an apply to operators.
package applied

import (
	"fmt"

	"github.com/levertide/levertide/internal/command/console"
	"github.com/levertide/levertide/internal/command/exit"
	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/versionstore"
)

// Describe returns the outcome of an apply that is in the given state.
func Describe(applyID string, state versionstore.ApplyState) console.Outcome {
	switch state.Phase {
	case versionstore.ApplyCommitted:
		return console.Done(exit.Accepted, fmt.Sprintf("apply %s was committed as version %d", applyID, state.Version))
	case versionstore.ApplyProposed:
		return console.Done(exit.Unknown, fmt.Sprintf("apply %s is version %d, which is proposed and not decided yet", applyID, state.Version))
	case versionstore.ApplyAborted:
		return console.Done(exit.Rejected, RejectionText(state.Version, state.Rejection))
	default:
		return console.Done(exit.Rejected, notWrittenText(applyID, state.Oldest))
	}
}

// RejectionText says which node rejected a version and why.
func RejectionText(version rollout.Version, rejection *rollout.Rejection) string {
	if rejection == nil {
		return fmt.Sprintf("version %d was rejected; no node has run any of it", version)
	}
	return fmt.Sprintf("version %d was rejected by node %s: %s; no node has run any of it", version, rejection.Node, rejection.Reason)
}

func notWrittenText(applyID string, oldest rollout.Version) string {
	text := fmt.Sprintf("apply %s was not written, unless the command that applies it is still running", applyID)
	if oldest > 1 {
		text += fmt.Sprintf("; versions before %d are no longer kept and were not looked at", oldest)
	}
	return text
}

// HistoryCommand returns the command line that shows the outcome of an apply later.
func HistoryCommand(applyID string) string { return "levertide history --apply-id " + applyID }
