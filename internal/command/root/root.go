// Package root assembles the command line of levertide.
package root

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/levertide/levertide/internal/command/apply"
	"github.com/levertide/levertide/internal/command/console"
	"github.com/levertide/levertide/internal/command/diff"
	"github.com/levertide/levertide/internal/command/exit"
	"github.com/levertide/levertide/internal/command/explain"
	"github.com/levertide/levertide/internal/command/history"
	"github.com/levertide/levertide/internal/command/status"
	"github.com/levertide/levertide/internal/command/validate"
)

const name = "levertide"

const longHelp = `Operators describe services, routes and secrets in YAML files, and apply a set of
files as a whole.

Exit codes: 0 accepted, 1 rejected, 2 conflict, 3 unknown, 4 unreachable, 64 usage.`

// Run runs one command line, given without the name of the program, and returns
// the exit code. version is the version of the program.
func Run(ctx context.Context, arguments []string, version string, out, errorOutput io.Writer) exit.Code {
	terminal := &console.Console{Out: out, Err: errorOutput}
	var help bytes.Buffer
	command := newCommand(terminal, version, &help)
	if err := command.Parse(arguments); err != nil {
		return parseFailed(terminal, err, &help)
	}
	return exitCode(terminal, command.Run(ctx), &help)
}

func newCommand(terminal *console.Console, version string, help io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	showVersion := flags.Bool("version", false, "show the program's version")
	command := &ffcli.Command{
		Name:       name,
		ShortUsage: "levertide <validate|diff|apply|status|history|explain> [flags]",
		LongHelp:   longHelp,
		FlagSet:    flags,
		Subcommands: []*ffcli.Command{
			validate.Command(terminal),
			diff.Command(terminal),
			apply.Command(terminal),
			status.Command(terminal),
			history.Command(terminal),
			explain.Command(terminal),
		},
		Exec: func(_ context.Context, rest []string) error {
			return runWithoutCommand(terminal, *showVersion, version, rest)
		},
	}
	flags.SetOutput(help)
	for _, subcommand := range command.Subcommands {
		subcommand.FlagSet.SetOutput(help)
	}
	return command
}

func runWithoutCommand(terminal *console.Console, showVersion bool, version string, rest []string) error {
	if showVersion {
		_, err := fmt.Fprintln(terminal.Out, name, version)
		return err
	}
	if len(rest) > 0 {
		return exit.UsageError(fmt.Sprintf("unknown command %q", rest[0]))
	}
	return exit.UsageError("name a command: validate, diff, apply, status, history or explain")
}

// parseFailed writes the help if the command line requests it, and otherwise the error.
func parseFailed(terminal *console.Console, err error, help *bytes.Buffer) exit.Code {
	if errors.Is(err, flag.ErrHelp) {
		_, _ = help.WriteTo(terminal.Out)
		return exit.Accepted
	}
	return exitCode(terminal, exit.UsageError(err.Error()), help)
}

func exitCode(terminal *console.Console, err error, help *bytes.Buffer) exit.Code {
	if errors.Is(err, flag.ErrHelp) {
		_, _ = help.WriteTo(terminal.Out)
		return exit.Accepted
	}
	if err != nil && err.Error() != "" {
		terminal.Progress("levertide: %v", err)
	}
	code := exit.CodeOf(err)
	if code == exit.Usage {
		terminal.Progress("levertide: see levertide -h and levertide COMMAND -h")
	}
	return code
}
