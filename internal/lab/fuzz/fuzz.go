package fuzz

import (
	"context"
	"fmt"
	"time"

	"github.com/levertide/levertide/internal/sim"
)

// Defaults of Options.
const (
	DefaultSeed  = 1
	DefaultSteps = 100_000
	// stepsBetweenSettling is how many steps run under faults before the simulated
	// system is given time to settle and is checked as a whole.
	stepsBetweenSettling = 10_000
	// stepsBetweenContextChecks limits how many steps a cancelled run still simulates.
	stepsBetweenContextChecks = 256
)

// Options configures a run.
type Options struct {
	// Seed determines everything that happens in the run.
	Seed uint64
	// Steps is how many events are simulated at least; zero means DefaultSteps.
	// The last stepsBetweenSettling steps are always completed, so that a shorter run
	// is the beginning of a longer one with the same seed.
	Steps uint64
	// Regions, ZonesPerRegion and NodesPerZone give the size of the simulated
	// system; zero means the defaults of sim.Options.
	Regions, ZonesPerRegion, NodesPerZone int
	// Log, when set, is called for each event of the run.
	Log func(at time.Duration, step uint64, text string)
	// Progress, when set, is called regularly with the steps done and the total.
	Progress func(steps, total uint64)
}

// Report is the result of a run.
type Report struct {
	Seed  uint64 `json:"seed"`
	Steps uint64 `json:"steps"`
	// SimulatedSeconds is how much time has passed in the simulation.
	SimulatedSeconds float64 `json:"simulated_seconds"`
	// Trace is a hash of everything that happened, in hexadecimal. Two runs
	// of the same program with the same seed and steps have the same.
	Trace string `json:"trace"`
	// Faults counts the injected faults by kind.
	Faults map[string]int `json:"faults"`
	// Activity counts what the simulated system did.
	Activity sim.Summary `json:"activity"`
	// Violations lists the violations of invariants.
	Violations []sim.Violation `json:"violations"`
}

// Run simulates at least Options.Steps events. If the context ends before, it
// returns the context's error with the report so far. Violations are no error.
func Run(ctx context.Context, options Options) (Report, error) {
	if options.Steps == 0 {
		options.Steps = DefaultSteps
	}
	world := sim.New(sim.Options{
		Seed:           options.Seed,
		Regions:        options.Regions,
		ZonesPerRegion: options.ZonesPerRegion,
		NodesPerZone:   options.NodesPerZone,
		Log:            options.Log,
	})
	defer world.Close()
	err := run(ctx, world, options)
	return reportOf(world, options), err
}

func run(ctx context.Context, world *sim.World, options Options) error {
	for world.Steps() < options.Steps {
		if err := stepTo(ctx, world, world.Steps()+stepsBetweenSettling); err != nil {
			return err
		}
		world.Settle()
		if options.Progress != nil {
			options.Progress(world.Steps(), options.Steps)
		}
	}
	return ctx.Err()
}

func stepTo(ctx context.Context, world *sim.World, until uint64) error {
	for world.Steps() < until {
		if world.Steps()%stepsBetweenContextChecks == 0 && ctx.Err() != nil {
			return ctx.Err()
		}
		world.Step()
	}
	return nil
}

func reportOf(world *sim.World, options Options) Report {
	violations := world.Violations()
	if violations == nil {
		violations = []sim.Violation{}
	}
	return Report{
		Seed:             options.Seed,
		Steps:            world.Steps(),
		SimulatedSeconds: world.Elapsed().Round(time.Millisecond).Seconds(),
		Trace:            fmt.Sprintf("%016x", world.TraceHash()),
		Faults:           world.Faults(),
		Activity:         world.Summary(),
		Violations:       violations,
	}
}
