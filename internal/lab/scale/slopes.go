package scale

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/levertide/levertide/internal/lab/results"
)

// point is one size of a sweep.
type point struct {
	nodes, services, regions, zones int
}

// sweepPoints are the sizes of the sweep: nodes with all services, and services
// with all nodes of a middle size. Zones grow with the nodes, so that a zone
// has about the same number of nodes at every size.
func sweepPoints() []point {
	return []point{
		{100, 310, 1, 2},
		{300, 310, 2, 4},
		{300, 31, 2, 4},
		{300, 100, 2, 4},
		{1000, 310, 4, 12},
		{1900, 310, 6, 22},
	}
}

// Sizes of each run of a sweep.
const (
	sweepChanges  = 7
	sweepInterval = 10 * time.Second
)

// SlopesCommand returns the subcommand "slopes".
func SlopesCommand(output io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("slopes", flag.ContinueOnError)
	directory := flags.String("json", ".", "directory for the result of each size and of the fits")
	changes := flags.Int("changes", sweepChanges, "changes at each size")
	interval := flags.Duration("change-interval", sweepInterval, "time between two changes")
	largest := flags.Int("largest", defaultNodes, "leave out sizes with more nodes")
	return &ffcli.Command{
		Name:       "slopes",
		ShortUsage: "levertide-lab slopes [flags]",
		ShortHelp:  "measure short quiet runs at several sizes and fit each figure over nodes and services",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			options := Options{Progress: output, Seed: 1}
			options.Size.Changes = *changes
			options.Size.ChangeInterval = *interval
			options.Size.ZoneDelay = defaultZoneDelay
			options.Size.RegionDelay = defaultRegionDelay
			options.Size.RealPerZone = defaultRealPerZone
			return sweep(ctx, options, *largest, *directory)
		},
	}
}

// sweep runs every size and writes one file for each and one with the fits.
func sweep(ctx context.Context, options Options, largest int, directory string) error {
	if err := options.FillPrograms(); err != nil {
		return err
	}
	var slopes results.Slopes
	for _, size := range sweepPoints() {
		if size.nodes > largest {
			continue
		}
		fmt.Fprintf(options.Progress, "\n%d nodes, %d services\n", size.nodes, size.services)
		name := fmt.Sprintf("slope-%d-%d.json", size.nodes, size.services)
		measured, err := sweepOne(ctx, options, size, filepath.Join(directory, name))
		if err != nil {
			return err
		}
		slopes.Points = append(slopes.Points, pointOf(measured, name))
		slopes.Fits = fitAll(slopes.Points)
		if err := writeJSON(filepath.Join(directory, "slopes.json"), slopes); err != nil {
			return err
		}
	}
	return nil
}

// sweepOne runs one size, or takes the result of an earlier run of the same size.
func sweepOne(ctx context.Context, options Options, size point, path string) (*results.Scale, error) {
	options.Size.Nodes, options.Size.Services = size.nodes, size.services
	options.Size.Regions, options.Size.Zones = size.regions, size.zones
	if earlier, ok := readEarlier(path); ok {
		fmt.Fprintf(options.Progress, "taken from %s\n", filepath.Base(path))
		return earlier, nil
	}
	measured, err := Run(ctx, options)
	if err != nil {
		return nil, err
	}
	printResult(options.Progress, measured)
	return measured, writeJSON(path, measured)
}

// readEarlier reads the result of an earlier run, so that an interrupted sweep
// goes on where it ended.
func readEarlier(path string) (*results.Scale, bool) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, false
	}
	var earlier results.Scale
	if json.Unmarshal(content, &earlier) != nil || earlier.Convergence == nil {
		return nil, false
	}
	return &earlier, true
}

// pointOf takes the figures of a run that slopes are fitted to.
func pointOf(measured *results.Scale, file string) results.SlopePoint {
	taken := results.SlopePoint{
		Nodes:           measured.Nodes,
		Services:        measured.Services,
		BytesByRole:     measured.ControlBytesByRole,
		CoreShare:       measured.CoreSharePerNode,
		MemoryBytes:     measured.MemoryBytesPerNode,
		RealCoreShare:   measured.RealCoreShare,
		RealMemoryBytes: measured.RealMemoryBytes,
		StoreRequests:   measured.StoreRequests,
		File:            file,
	}
	if measured.Convergence != nil {
		taken.ConvergenceP50, taken.ConvergenceMax = &measured.Convergence.P50, &measured.Convergence.Max
	}
	return taken
}
