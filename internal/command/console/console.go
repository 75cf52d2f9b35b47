// Package console writes the reports of levertide's commands as text or JSON.
package console

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/levertide/levertide/internal/command/exit"
)

// The output formats.
const (
	formatText = "text"
	formatJSON = "json"
)

const jsonIndentation = "  "

// Console is where a command writes its output. Reports go to Out; progress and the
// final message of a failure go to Err.
type Console struct {
	Out io.Writer
	Err io.Writer

	format string
}

// Outcome is part of every report.
type Outcome struct {
	Outcome  string `json:"outcome"`
	ExitCode int    `json:"exitCode"`
	// Message says in one sentence what happened.
	Message string `json:"message"`
}

// Done returns the outcome of a command that ends with a code.
func Done(code exit.Code, message string) Outcome {
	return Outcome{Outcome: code.String(), ExitCode: int(code), Message: message}
}

// Result returns the outcome. Reports that embed an Outcome implement Report's Result
// with it.
func (o Outcome) Result() Outcome { return o }

// Report is the answer of a command.
type Report interface {
	// Result returns the outcome.
	Result() Outcome
	// WriteText writes everything but the outcome for people to read.
	WriteText(out io.Writer)
}

// RegisterFormat adds the -o flag.
func (c *Console) RegisterFormat(flags *flag.FlagSet) {
	c.format = formatText
	flags.Func("o", "output `format`: text or json (default text)", func(value string) error {
		if value != formatText && value != formatJSON {
			return fmt.Errorf("must be %s or %s", formatText, formatJSON)
		}
		c.format = value
		return nil
	})
}

// Progress writes a line on the progress of the command; it is not part of the report.
func (c *Console) Progress(format string, arguments ...any) {
	_, _ = fmt.Fprintf(c.Err, format+"\n", arguments...)
}

// EmitWithin runs a command within a time bound and emits its report. If check fails, the
// command is not run and the error is returned.
func (c *Console) EmitWithin(ctx context.Context, bound time.Duration, check func() error, run func(ctx context.Context) Report) error {
	if err := check(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	return c.Emit(run(ctx))
}

// Emit writes a report and returns the error that ends the command with the
// report's code.
func (c *Console) Emit(report Report) error {
	outcome := report.Result()
	if c.format == formatJSON {
		c.writeJSON(report)
	} else {
		report.WriteText(c.Out)
		c.writeMessage(outcome)
	}
	if outcome.ExitCode == int(exit.Accepted) {
		return nil
	}
	return &exit.Failure{Code: exit.Code(outcome.ExitCode)}
}

func (c *Console) writeJSON(report Report) {
	encoder := json.NewEncoder(c.Out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", jsonIndentation)
	if err := encoder.Encode(report); err != nil {
		c.Progress("levertide: the report cannot be written: %v", err)
	}
}

func (c *Console) writeMessage(outcome Outcome) {
	if outcome.Message == "" {
		return
	}
	if outcome.ExitCode == int(exit.Accepted) {
		_, _ = fmt.Fprintln(c.Out, outcome.Message)
		return
	}
	c.Progress("levertide: %s: %s", outcome.Outcome, outcome.Message)
}

// Failed is a report that consists of its outcome only.
type Failed struct{ Outcome }

// WriteText implements Report.
func (Failed) WriteText(io.Writer) {}
