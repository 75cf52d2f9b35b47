//go:build !race

// With the race detector, Go 1.26.8 crashes in a bubble when a timer is already due
// as its channel is selected; scripts/go-test.sh runs these tests without it.

package soak

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/levertide/levertide/internal/lab/memnet"
)

// TestNothingBreaksBesideACrowd runs soaks with more clients outside the limits than the nodes have
// descriptors for, while nodes, workers, the store and the network fail.
func TestNothingBreaksBesideACrowd(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				network := NewInMemory(memnet.New(500 * time.Microsecond))
				defer time.Sleep(time.Minute)
				report, err := Run(t.Context(), Options{Seed: seed, Duration: *length, Callers: 6, Crowd: 400, Network: network, Log: t.Logf})
				if err != nil {
					t.Fatal(err)
				}
				checkReport(t, report)
				t.Logf("%+v", report)
			})
		})
	}
}
