// Package validate implements "levertide validate": it checks a file set
// without reading the store.
package validate

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/levertide/levertide/internal/command/console"
	"github.com/levertide/levertide/internal/command/exit"
	"github.com/levertide/levertide/internal/command/fileset"
	"github.com/levertide/levertide/pkg/manifest"
)

const name = "validate"

// Report is the answer of the command.
type Report struct {
	console.Outcome
	Resources int              `json:"resources"`
	Faults    []manifest.Fault `json:"faults"`
}

// WriteText implements console.Report.
func (r Report) WriteText(out io.Writer) { fileset.WriteFaults(out, r.Faults) }

// Command returns the command.
func Command(terminal *console.Console) *ffcli.Command {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	var files fileset.Flags
	files.Register(flags)
	terminal.RegisterFormat(flags)
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "levertide validate -f PATH [-f PATH ...] [-o text|json]",
		ShortHelp:  "check a file set and show all its faults",
		LongHelp:   "Checks syntax, references, limits and routes that clash. Neither the store nor a node is asked.",
		FlagSet:    flags,
		Exec: func(_ context.Context, arguments []string) error {
			if err := files.Check(arguments); err != nil {
				return err
			}
			return terminal.Emit(check(&files))
		},
	}
}

func check(files *fileset.Flags) Report {
	resources, faults := files.Read()
	report := Report{Resources: len(resources), Faults: faults}
	if len(faults) > 0 {
		report.Outcome = console.Done(exit.Rejected, fileset.Summary(faults))
		return report
	}
	report.Faults = []manifest.Fault{}
	report.Outcome = console.Done(exit.Accepted, fmt.Sprintf("the set is valid: %d resources", len(resources)))
	return report
}
