package scale

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/levertide/levertide/internal/lab/experiment"
	"github.com/levertide/levertide/internal/lab/results"
)

// Defaults of the flags.
const (
	defaultNodes          = 1900
	defaultServices       = 310
	defaultRegions        = 6
	defaultZones          = 22
	defaultRealPerZone    = 2
	defaultChanges        = 15
	defaultChangeInterval = 10 * time.Second
	defaultZoneDelay      = time.Millisecond
	defaultRegionDelay    = 40 * time.Millisecond
)

// flagsOf binds a size to flags.
func flagsOf(flags *flag.FlagSet, options *Options) (herds *string) {
	size := &options.Size
	flags.IntVar(&size.Nodes, "nodes", defaultNodes, "nodes in all")
	flags.IntVar(&size.Services, "services", defaultServices, "services")
	flags.IntVar(&size.Regions, "regions", defaultRegions, "regions")
	flags.IntVar(&size.Zones, "zones", defaultZones, "zones in all")
	flags.IntVar(&size.RealPerZone, "real-per-zone", defaultRealPerZone, "nodes of each zone that are processes of their own")
	flags.IntVar(&size.Changes, "changes", defaultChanges, "changes in the quiet phase")
	flags.DurationVar(&size.ChangeInterval, "change-interval", defaultChangeInterval, "time between two changes")
	flags.DurationVar(&size.ZoneDelay, "zone-delay", defaultZoneDelay, "one-way delay between zones of a region")
	flags.DurationVar(&size.RegionDelay, "region-delay", defaultRegionDelay, "one-way delay between regions")
	flags.BoolVar(&size.Baselines, "baselines", true, "give the same changes to the baselines")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the changes")
	flags.StringVar(&options.Lab, "lab", "", "path of levertide-lab; this program when empty")
	flags.StringVar(&options.Levertided, "levertided", "", "path of levertided; beside this program when empty")
	return flags.String("herds", joinHerds(experiment.Herds()), "herds after the quiet phase, in order; empty for none")
}

// joinHerds lists herds as the flag takes them.
func joinHerds(herds []experiment.Herd) string {
	names := make([]string, len(herds))
	for i, herd := range herds {
		names[i] = string(herd)
	}
	return strings.Join(names, ",")
}

// parseHerds reads the flag. It fails with ErrSize.
func parseHerds(text string) ([]experiment.Herd, error) {
	var herds []experiment.Herd
	for name := range strings.SplitSeq(text, ",") {
		if name == "" {
			continue
		}
		herd := experiment.Herd(name)
		if !strings.Contains(","+joinHerds(experiment.Herds())+",", ","+name+",") {
			return nil, ErrSize.New("there is no herd %q; herds are %s", name, joinHerds(experiment.Herds()))
		}
		herds = append(herds, herd)
	}
	return herds, nil
}

// FillPrograms sets the paths of programs that are not given: this program,
// and levertided beside it.
func (o *Options) FillPrograms() error {
	own, err := os.Executable()
	if err != nil {
		return ErrSize.Wrap(err, "cannot find this program")
	}
	if o.Lab == "" {
		o.Lab = own
	}
	if o.Levertided == "" {
		o.Levertided = filepath.Join(filepath.Dir(own), "levertided")
	}
	return nil
}

// Command returns the subcommand "scale".
func Command(output io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("scale", flag.ContinueOnError)
	options := Options{Progress: output}
	herds := flagsOf(flags, &options)
	path := flags.String("json", "", "file for the result")
	events := flags.String("events", "", "file for the events of all nodes; none when empty")
	return &ffcli.Command{
		Name:       "scale",
		ShortUsage: "levertide-lab scale [flags]",
		ShortHelp:  "measure convergence and control bytes at full size, in quiet and through herds of deaths",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			var err error
			if options.Size.Herds, err = parseHerds(*herds); err != nil {
				return err
			}
			if *events != "" {
				kept, err := os.Create(*events)
				if err != nil {
					return ErrOutput.Wrap(err, "events")
				}
				defer func() { _ = kept.Close() }()
				options.Events = kept
			}
			return RunAndWrite(ctx, options, *path)
		},
	}
}

// RunAndWrite runs the emulation, prints the result and writes it to a file if
// one is named. It fails with ErrViolations when the run found any.
func RunAndWrite(ctx context.Context, options Options, path string) error {
	if err := options.FillPrograms(); err != nil {
		return err
	}
	result, runErr := Run(ctx, options)
	printResult(options.Progress, result)
	if path != "" {
		if err := writeJSON(path, result); err != nil {
			return err
		}
	}
	if runErr != nil {
		return runErr
	}
	if result.Violations == nil || *result.Violations > 0 {
		return ErrViolations.New("the run found violations, such as %s", firstOf(result.ViolationDetails))
	}
	return nil
}

// firstOf returns the first of some texts.
func firstOf(texts []string) string {
	if len(texts) == 0 {
		return notMeasured
	}
	return texts[0]
}

// writeJSON writes a result to a file. It fails with ErrOutput.
func writeJSON(path string, result any) error {
	content, err := json.MarshalIndent(result, "", " ")
	if err != nil {
		return ErrOutput.Wrap(err, "encode the result")
	}
	if err := os.WriteFile(path, append(content, '\n'), 0o644); err != nil {
		return ErrOutput.Wrap(err, "write the result")
	}
	return nil
}

// printResult prints the main figures.
func printResult(output io.Writer, result *results.Scale) {
	fmt.Fprintf(output, "\nconvergence (quiet)      %s\n", showQuantiles(result.Convergence))
	fmt.Fprintf(output, "commit to in force       %s\n", showQuantiles(result.CommitToInForce))
	fmt.Fprintf(output, "control bytes per node   %s over windows of %d s\n", showSpread(result.ControlBytes), result.WindowSeconds)
	for _, role := range results.Roles() {
		fmt.Fprintf(output, "  %-12s           %s\n", role, showSpread(result.ControlBytesByRole.Get(role)))
	}
	fmt.Fprintf(output, "store                    %s readers, %s requests/s\n", showNumber(result.StoreReaders), showFloat(result.StoreRequests, 1))
	fmt.Fprintf(output, "processor per node       hollow %s%%, real process %s%% of a core\n", showFloat(result.CoreSharePerNode, 100), showFloat(result.RealCoreShare, 100))
	fmt.Fprintf(output, "memory per node          hollow %s MB, real process %s MB\n", showFloat(result.MemoryBytesPerNode, 1.0/(1<<20)), showFloat(result.RealMemoryBytes, 1.0/(1<<20)))
	fmt.Fprintf(output, "violations               %s\n", showNumber(result.Violations))
}

// showNumber shows a whole figure.
func showNumber(figure *int) string {
	if figure == nil {
		return notMeasured
	}
	return fmt.Sprint(*figure)
}

// showFloat shows a figure in a unit.
func showFloat(figure *float64, factor float64) string {
	if figure == nil {
		return notMeasured
	}
	return fmt.Sprintf("%.3f", *figure*factor)
}
