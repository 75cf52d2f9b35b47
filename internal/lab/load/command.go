package load

import (
	"context"
	"encoding/json"
	"flag"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
)

const reportPermissions = 0o644

// Command returns the load subcommand. It fails with ErrOptions, ErrStart or ErrFailed.
func Command() *ffcli.Command {
	flags := flag.NewFlagSet("load", flag.ContinueOnError)
	options := Options{Progress: os.Stderr}
	modes := flags.String("mode", string(ModeSteady), "what to measure: steady, overload, chain, upload, rolling, faults, crash, separated by commas, or all")
	rates := flags.String("rate", "280,2800", "calls a second that a node takes in, one step of steady for each")
	sizes := flags.String("upload-mb", "1,16,128,1024", "sizes of the uploads in megabytes")
	file := flags.String("json", "", "file for the report; standard output when empty")
	events := flags.String("events", "", "file for the events of levertided processes; none when empty")
	flags.StringVar(&options.Levertided, "levertided", "", "path of levertided; data planes inside the lab when empty")
	flags.DurationVar(&options.Duration, "duration", DefaultDuration, "length of one step")
	flags.IntVar(&options.Rounds, "rounds", DefaultRounds, "parts that a step of the steady mode is measured in")
	flags.IntVar(&options.Workers, "workers", DefaultWorkers, "workers of the service")
	flags.IntVar(&options.Zones, "zones", DefaultZones, "zones that they are spread over")
	flags.IntVar(&options.Slots, "slots", DefaultSlots, "requests that one worker runs at once")
	flags.DurationVar(&options.Service.Median, "service-median", 0, "median time of a request in the steady and rolling modes")
	flags.Float64Var(&options.Service.Sigma, "service-sigma", 0, "spread of the time of a request")
	flags.Uint64Var(&options.Seed, "seed", DefaultSeed, "seed of the moments of the calls")
	return &ffcli.Command{
		Name:       "load",
		ShortUsage: "levertide-lab load [flags]",
		ShortHelp:  "measure calls directly and through two nodes",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			var err error
			if options.Modes, err = ParseModes(*modes); err != nil {
				return err
			}
			if options.Rates, err = ParseRates(*rates); err != nil {
				return err
			}
			if options.UploadSizes, err = ParseSizes(*sizes); err != nil {
				return err
			}
			if *events != "" {
				eventsFile, err := os.Create(*events)
				if err != nil {
					return err
				}
				defer func() { _ = eventsFile.Close() }()
				options.Events = eventsFile
			}
			return runAndWrite(ctx, options, *file)
		},
	}
}

// runAndWrite writes the report even when the run failed, since the report shows the failures.
func runAndWrite(ctx context.Context, options Options, file string) error {
	report, runErr := Run(ctx, options)
	encoded, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	encoded = append(encoded, '\n')
	if file == "" {
		_, err = os.Stdout.Write(encoded)
	} else {
		err = os.WriteFile(file, encoded, reportPermissions)
	}
	if runErr != nil {
		return runErr
	}
	return err
}
