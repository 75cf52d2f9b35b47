package mesh

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/levertide/levertide/internal/lab/process"
)

// ApplyOutcome is how an apply ended, from the exit code of the command.
type ApplyOutcome string

// The outcomes of an apply; exit codes in the order of docs/COMMANDS.md.
const (
	ApplyAccepted    ApplyOutcome = "accepted"
	ApplyRejected    ApplyOutcome = "rejected"
	ApplyConflict    ApplyOutcome = "conflict"
	ApplyUnknown     ApplyOutcome = "unknown"
	ApplyUnreachable ApplyOutcome = "unreachable"
	ApplyFailed      ApplyOutcome = "failed"
)

// outcomes maps exit codes to outcomes.
var outcomes = []ApplyOutcome{ApplyAccepted, ApplyRejected, ApplyConflict, ApplyUnknown, ApplyUnreachable}

// ApplyResult is what one run of the apply command reported.
type ApplyResult struct {
	Outcome ApplyOutcome
	// Version is the number that the set was given; zero if it got none.
	Version uint64
	// Message is the message that the command printed for people.
	Message string
	// Began and Ended are when the command started and ended.
	Began time.Time
	Ended time.Time
}

// applyReport holds the fields of the command's JSON output that Apply uses.
type applyReport struct {
	Version uint64 `json:"version"`
	Message string `json:"message"`
}

// Apply runs "levertide apply" for directories as one set based on a version.
// It fails with ErrCommand when the command cannot be run.
func (m *Mesh) Apply(ctx context.Context, directories []string, base uint64, operator string) (ApplyResult, error) {
	arguments := []string{
		"apply", "-o", "json",
		"--store", m.store.direct,
		"--base", fmt.Sprint(base),
		"--operator", operator,
	}
	for _, directory := range directories {
		arguments = append(arguments, "-f", directory)
	}
	result := ApplyResult{Began: time.Now()}
	var output, errorOutput strings.Builder
	running, err := m.options.Processes.Start(process.Options{
		Name:         "levertide apply",
		Path:         m.options.Programs.Levertide,
		Arguments:    arguments,
		OnOutputLine: func(line []byte) { output.Write(append(line, '\n')) },
		OnErrorLine:  func(line []byte) { errorOutput.Write(append(line, '\n')) },
	})
	if err != nil {
		return ApplyResult{}, ErrCommand.Wrap(err, "start levertide apply")
	}
	running.ExpectEnd()
	select {
	case <-running.Done():
	case <-ctx.Done():
		running.Kill()
		return ApplyResult{}, ErrCommand.Wrap(ctx.Err(), "wait for levertide apply")
	}
	result.Ended = time.Now()
	result.Outcome = outcomeOf(running.ExitCode())
	var report applyReport
	if err := json.Unmarshal([]byte(output.String()), &report); err != nil {
		result.Message = strings.TrimSpace(errorOutput.String())
		return result, nil
	}
	result.Version, result.Message = report.Version, report.Message
	return result, nil
}

// outcomeOf returns the outcome of an exit code.
func outcomeOf(code int) ApplyOutcome {
	if code < 0 || code >= len(outcomes) {
		return ApplyFailed
	}
	return outcomes[code]
}
