package coordination

import (
	"context"
	"testing"
	"time"

	"github.com/levertide/levertide/internal/lab/fuzz"
	"github.com/levertide/levertide/internal/sim"
)

func requireNone(t *testing.T, violations []sim.Violation) {
	t.Helper()
	for _, violation := range violations {
		t.Errorf("seed %d, step %d: %s: %s: %s",
			violation.Seed, violation.Step, violation.Invariant, violation.Subject, violation.Detail)
	}
}

// expectedFaults are the kinds of fault that TestSeedsWithAllFaults must have injected.
var expectedFaults = []string{
	"answer lost", "clock step", "crash", "cut", "cut in one direction", "herd of crashes", "leases lapsed",
	"message lost", "pause", "pause of a coordinator", "pause of a relay", "planned stop", "rate limited",
	"request during outage", "request lost", "request refused", "store outage", "store recovered",
	"store restored", "store slow", "write held back",
}

func TestSeedsWithAllFaults(t *testing.T) {
	met := map[string]int{}
	for seed := uint64(1); seed <= 4; seed++ {
		report, err := fuzz.Run(context.Background(), fuzz.Options{Seed: seed, Steps: 60_000})
		if err != nil {
			t.Fatal(err)
		}
		requireNone(t, report.Violations)
		for kind, count := range report.Faults {
			met[kind] += count
		}
	}
	for _, kind := range expectedFaults {
		if met[kind] == 0 {
			t.Errorf("no fault of kind %q occurred", kind)
		}
	}
}

func TestOtherTopologies(t *testing.T) {
	topologies := map[string]sim.Options{
		"one zone":     {Seed: 11, Regions: 1, ZonesPerRegion: 1, NodesPerZone: 7},
		"many regions": {Seed: 12, Regions: 5, ZonesPerRegion: 1, NodesPerZone: 4},
		"flat":         {Seed: 13, Regions: 1, ZonesPerRegion: 4, NodesPerZone: 4, FanOut: 8},
		"one reader":   {Seed: 14, Readers: 1},
	}
	for name, options := range topologies {
		t.Run(name, func(t *testing.T) {
			w := sim.New(options)
			defer w.Close()
			for range 3 {
				w.RunFor(60 * time.Second)
				w.Settle()
			}
			requireNone(t, w.Violations())
		})
	}
}
