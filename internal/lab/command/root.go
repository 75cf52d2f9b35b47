package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/levertide/levertide/internal/lab/certs"
	"github.com/levertide/levertide/internal/lab/demo"
	"github.com/levertide/levertide/internal/lab/fuzz"
	"github.com/levertide/levertide/internal/lab/load"
	"github.com/levertide/levertide/internal/lab/report"
	"github.com/levertide/levertide/internal/lab/soak"
	"github.com/levertide/levertide/internal/lab/worker"
)

// Exit codes of levertide-lab.
const (
	exitPassed = 0
	// exitFailed means that a check of an experiment did not hold, or that
	// the experiment could not run.
	exitFailed = 1
	// exitUsage means that the command line was wrong.
	exitUsage = 2
)

// Run parses the arguments, runs the subcommand that they name and returns the
// exit code of the program.
func Run(ctx context.Context, arguments []string, errorOutput io.Writer) int {
	root := newRoot(errorOutput)
	if err := root.Parse(arguments); err != nil {
		return usageExit(err, errorOutput)
	}
	err := root.Run(ctx)
	if err == nil {
		return exitPassed
	}
	if errors.Is(err, flag.ErrHelp) {
		return exitUsage
	}
	fmt.Fprintln(errorOutput, "levertide-lab:", err)
	return exitFailed
}

// usageExit reports a command line that cannot be parsed and returns the exit code. A
// request for help is no error.
func usageExit(err error, errorOutput io.Writer) int {
	if errors.Is(err, flag.ErrHelp) {
		return exitPassed
	}
	fmt.Fprintln(errorOutput, "levertide-lab:", err)
	return exitUsage
}

// newRoot returns the root command with every subcommand.
func newRoot(errorOutput io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("levertide-lab", flag.ContinueOnError)
	flags.SetOutput(errorOutput)
	return &ffcli.Command{
		Name:        "levertide-lab",
		ShortUsage:  "levertide-lab <subcommand> [flags]",
		ShortHelp:   "emulator and experiments of levertide",
		FlagSet:     flags,
		Subcommands: subcommands(),
		Exec: func(context.Context, []string) error {
			return flag.ErrHelp
		},
	}
}

// subcommands returns every subcommand in the order in which help lists them.
func subcommands() []*ffcli.Command {
	return []*ffcli.Command{
		demo.Command(os.Stdout),
		demo.RunCommand(os.Stdout),
		fuzz.Command(),
		soak.Command(os.Stdout, os.Stderr),
		load.Command(),
		report.Command(os.Stdout),
		certs.Command(),
		worker.Command(),
	}
}
