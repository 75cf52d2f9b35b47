//go:build !race

// With the race detector, Go 1.26.8 crashes in a bubble when a timer is already due
// as its channel is selected; scripts/go-test.sh runs these tests without it.

package soak

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/levertide/levertide/internal/lab/memnet"
)

// The number of seeds that TestNothingBreaksOnSimulatedTime runs, the first of them, and
// the simulated time of each. CI uses the defaults, a longer search sets others.
var (
	seeds     = flag.Uint64("seeds", 4, "seeds to play")
	firstSeed = flag.Uint64("first-seed", 1, "the first of them")
	length    = flag.Duration("length", 10*time.Second, "simulated time of each")
)

// TestNothingBreaksOnSimulatedTime runs longer soaks, with cuts, on an in-memory
// network and a simulated clock that advances as fast as the program allows.
func TestNothingBreaksOnSimulatedTime(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				network := NewInMemory(memnet.New(500 * time.Microsecond))
				// The clock of the bubble stops once the test has ended, so dials in
				// progress must end before that.
				defer time.Sleep(time.Minute)
				began := time.Now()
				timed := func(format string, arguments ...any) {
					t.Logf("%v "+format, append([]any{time.Since(began)}, arguments...)...)
				}
				report, err := Run(t.Context(), Options{Seed: seed, Duration: *length, Callers: 6, Network: network, Log: timed})
				if err != nil {
					t.Fatal(err)
				}
				checkReport(t, report)
				t.Logf("%+v", report)
			})
		})
	}
}
