package hollow

import (
	"context"
	"flag"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Command returns the subcommand "hollow", which other subcommands start.
func Command() *ffcli.Command {
	return &ffcli.Command{
		Name:       "hollow",
		ShortUsage: "levertide-lab hollow",
		ShortHelp:  "run many nodes in this process, as told on standard input (used by scale)",
		FlagSet:    flag.NewFlagSet("hollow", flag.ContinueOnError),
		Exec: func(ctx context.Context, _ []string) error {
			return Run(ctx, os.Stdin, os.Stdout, os.Stderr)
		},
	}
}
