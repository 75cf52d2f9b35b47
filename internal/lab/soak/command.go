package soak

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Command returns the subcommand "soak". The report is written to output; the faults
// are listed on errorOutput if the flag -verbose is set.
func Command(output, errorOutput io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("soak", flag.ContinueOnError)
	options := Options{}
	flags.Uint64Var(&options.Seed, "seed", 1, "decides the faults")
	flags.DurationVar(&options.Duration, "duration", DefaultDuration, "how long faults strike")
	flags.IntVar(&options.Machines, "machines", DefaultMachines, "nodes, each beside a worker")
	flags.IntVar(&options.Callers, "callers", DefaultCallers, "callers, one request at a time each")
	verbose := flags.Bool("verbose", false, "list the faults on standard error")
	return &ffcli.Command{
		Name:       "soak",
		ShortUsage: "levertide-lab soak [-seed S] [-duration D]",
		ShortHelp:  "run nodes in hosted mode under faults and check what must always hold",
		LongHelp:   "Exit status 1 tells that something that must always hold did not.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			if *verbose {
				options.Log = func(format string, arguments ...any) {
					_, _ = fmt.Fprintf(errorOutput, format+"\n", arguments...)
				}
			}
			report, err := Run(ctx, options)
			if err != nil {
				return err
			}
			encoder := json.NewEncoder(output)
			encoder.SetIndent("", "  ")
			if err := encoder.Encode(report); err != nil {
				return err
			}
			if len(report.Violations) > 0 {
				return ErrViolations.New("%d violations", len(report.Violations))
			}
			return nil
		},
	}
}
