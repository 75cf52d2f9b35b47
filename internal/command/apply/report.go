package apply

import (
	"io"

	"github.com/levertide/levertide/internal/command/applied"
	"github.com/levertide/levertide/internal/command/changes"
	"github.com/levertide/levertide/internal/command/console"
	"github.com/levertide/levertide/internal/command/exit"
	"github.com/levertide/levertide/internal/command/fileset"
	"github.com/levertide/levertide/pkg/manifest"
)

// Report is the answer of the command.
type Report struct {
	console.Outcome
	// ApplyID identifies the apply; it is empty when nothing could have been written.
	ApplyID string `json:"applyId,omitempty"`
	// Base is the version that the set was to replace.
	Base uint64 `json:"base"`
	// Version is the number that the set was given; zero when it was not proposed.
	Version uint64 `json:"version,omitempty"`
	// Current is the committed version that was read last.
	Current uint64 `json:"current"`
	// FindOut is a command line that shows the outcome of the apply later; it is set
	// when the outcome is not known.
	FindOut string           `json:"findOut,omitempty"`
	Faults  []manifest.Fault `json:"faults,omitempty"`
	// Changes lists the differences between the base and the set.
	Changes []changes.Change `json:"changes,omitempty"`
	// Moved lists, after a conflict, the changes between base and current.
	Moved []changes.Change `json:"moved,omitempty"`
}

// WriteText implements console.Report. It leaves out Changes, which have been written
// as progress already.
func (r Report) WriteText(out io.Writer) {
	fileset.WriteFaults(out, r.Faults)
	changes.Write(out, r.Moved)
}

// with returns the report with an outcome.
func (r Report) with(code exit.Code, message string) Report {
	r.Outcome = console.Done(code, message)
	if code == exit.Unknown && r.ApplyID != "" {
		r.FindOut = applied.HistoryCommand(r.ApplyID)
		r.Message += "; find out with: " + r.FindOut
	}
	return r
}
