package report

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Command returns the subcommand "report".
func Command(output io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "report",
		ShortUsage: "levertide-lab report DIR",
		ShortHelp:  "draw plots and one HTML page from the JSON results in a directory",
		LongHelp:   "Reads the JSON files that scale, slopes, run, demo and load have written into DIR,\nand writes PNG plots and " + PageName + " beside them.",
		FlagSet:    flag.NewFlagSet("report", flag.ContinueOnError),
		Exec: func(_ context.Context, arguments []string) error {
			if len(arguments) != 1 {
				return ErrInput.New("exactly one directory is expected, not %d", len(arguments))
			}
			path, err := Write(arguments[0])
			if err != nil {
				return err
			}
			fmt.Fprintln(output, path)
			return nil
		},
	}
}
