package demo

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"os"
	"path/filepath"
	"sync"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/levertide/levertide/internal/lab/experiment"
	"github.com/levertide/levertide/internal/lab/fabric"
	"github.com/levertide/levertide/internal/lab/mesh"
	"github.com/levertide/levertide/internal/lab/results"
)

// zoneNumberSpacing is the distance between the first zone numbers of experiments that run at
// the same time.
const zoneNumberSpacing = 50

// demoExperiments are the experiments of the demo, in the examples directory.
var demoExperiments = []string{"experiments/vennema.yaml", "experiments/blue-mahoe.yaml"}

// Command returns the subcommand "demo".
func Command(output io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("demo", flag.ContinueOnError)
	examples := flags.String("examples", "examples", "directory of the example file sets and experiments")
	directory := flags.String("json", "", "directory for the results as JSON")
	return &ffcli.Command{
		Name:       "demo",
		ShortUsage: "levertide-lab demo [flags]",
		ShortHelp:  "run both deployments at today's sizes, with changes and faults while calls run",
		LongHelp:   "Runs levertided and levertide from the directory of this program. Ends within two\nminutes with a summary; the exit code is 0 only if every check held.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			var files []*experiment.File
			for _, name := range demoExperiments {
				file, err := experiment.LoadFile(filepath.Join(*examples, name))
				if err != nil {
					return err
				}
				files = append(files, file)
			}
			return runAll(ctx, files, output, *directory)
		},
	}
}

// RunCommand returns the subcommand "run".
func RunCommand(output io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("run", flag.ContinueOnError)
	directory := flags.String("json", "", "directory for the result as JSON")
	check := flags.Bool("check", false, "validate the experiment file and leave")
	return &ffcli.Command{
		Name:       "run",
		ShortUsage: "levertide-lab run [flags] FILE",
		ShortHelp:  "carry out an experiment file",
		FlagSet:    flags,
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) != 1 {
				return ErrStart.New("exactly one experiment file is expected, not %d", len(arguments))
			}
			file, err := experiment.LoadFile(arguments[0])
			if err != nil || *check {
				return err
			}
			return runAll(ctx, []*experiment.File{file}, output, *directory)
		},
	}
}

// findPrograms returns the programs in the directory of this one. It fails with ErrPrograms.
func findPrograms() (mesh.Programs, error) {
	own, err := os.Executable()
	if err != nil {
		return mesh.Programs{}, ErrPrograms.Wrap(err, "cannot find this program")
	}
	programs := mesh.Programs{
		Lab:        own,
		Levertided: filepath.Join(filepath.Dir(own), "levertided"),
		Levertide:  filepath.Join(filepath.Dir(own), "levertide"),
	}
	for _, path := range []string{programs.Levertided, programs.Levertide} {
		if _, err := os.Stat(path); err != nil {
			return mesh.Programs{}, ErrPrograms.Wrap(err, "a program is missing; build all three into one directory")
		}
	}
	return programs, nil
}

// runAll runs experiments at the same time, prints their summaries and writes their results to the
// directory, if one is given. It fails with ErrChecks when a check did not hold.
func runAll(ctx context.Context, files []*experiment.File, output io.Writer, directory string) error {
	programs, err := findPrograms()
	if err != nil {
		return err
	}
	progress := NewProgress(output)
	outcomes := make([]*results.Experiment, len(files))
	failures := make([]error, len(files))
	var running sync.WaitGroup
	for i, file := range files {
		running.Go(func() {
			outcomes[i], failures[i] = Run(ctx, Options{
				File: file, Programs: programs, Progress: progress,
				FirstZone: fabric.ZoneNumber(1 + i*zoneNumberSpacing),
			})
		})
	}
	running.Wait()
	held := true
	for i, failure := range failures {
		if failure != nil {
			return failure
		}
		progress.Summarize(outcomes[i])
		held = held && outcomes[i].Held()
		if err := write(directory, outcomes[i]); err != nil {
			return err
		}
	}
	if !held {
		return ErrChecks.New("a check did not hold")
	}
	return nil
}

// write stores a result in a directory if one is named.
func write(directory string, result *results.Experiment) error {
	if directory == "" {
		return nil
	}
	content, err := json.MarshalIndent(result, "", " ")
	if err != nil {
		return ErrOutput.Wrap(err, "encode the result")
	}
	path := filepath.Join(directory, result.Experiment+".json")
	if err := os.WriteFile(path, append(content, '\n'), 0o644); err != nil {
		return ErrOutput.Wrap(err, "write the result")
	}
	return nil
}
