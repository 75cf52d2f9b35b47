package history

import (
	"context"
	"io"

	"github.com/levertide/levertide/internal/command/applied"
	"github.com/levertide/levertide/internal/command/connect"
	"github.com/levertide/levertide/internal/command/console"
)

// ApplyReport shows the outcome of one apply.
type ApplyReport struct {
	console.Outcome
	ApplyID string `json:"applyId"`
	// Phase is "committed", "proposed", "aborted" or "not-written".
	Phase   string `json:"phase"`
	Version uint64 `json:"version,omitempty"`
	// Oldest is the oldest version that the store still holds.
	Oldest uint64 `json:"oldest,omitempty"`
}

// WriteText implements console.Report.
func (ApplyReport) WriteText(io.Writer) {}

func resolve(ctx context.Context, versions *connect.Store, applyID string) console.Report {
	state, err := versions.Resolve(ctx, applyID)
	if err != nil {
		return failed(err)
	}
	return ApplyReport{
		Outcome: applied.Describe(applyID, state),
		ApplyID: applyID,
		Phase:   state.Phase.String(),
		Version: state.Version,
		Oldest:  state.Oldest,
	}
}
