//go:build !race

// With the race detector, Go 1.26.8 crashes in a bubble when a timer is already due
// as its channel is selected; scripts/go-test.sh plays these tests without it.

package soak

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/levertide/levertide/internal/lab/memnet"
)

// Symptom: 21 workers of a service ended one after the other, on machines of all zones,
// while the nodes beside them ran on; each took the 3 to 7 requests that it had in hand
// with it. When they were back they ended again.
//
// Sequence: a read reaches a node, is offered to a worker and crashes it after some 60
// ms. The connection is lost, and within 100 ms the node offers the read to the next
// worker, which ends, too. The caller, told 502, comes again with the same read, at any
// node; so does everybody who sends it.
//
// Cause: attempts and retries were counted for one try, by the node that took it. Nobody
// remembered what the request had done to workers before, under another id or at
// another node. Settled by 17 lines of calls with the reason connection-lost and two
// arrivals, each for two workers that ended at those moments, and by the ids: no two
// were the same.
//
// TestRequestThatCrashesItsWorkersIsStopped sends such a read at all nodes for 12 s. Once it
// has crashed three workers and the time has passed in which all nodes hear of it, it
// reaches three more at most.
func TestRequestThatCrashesItsWorkersIsStopped(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				// Time stands still once the test has ended: what still dials must end before.
				defer time.Sleep(time.Minute)
				run := newSoak(Options{Seed: seed, Machines: 12, Network: NewInMemory(memnet.New(500 * time.Microsecond)), Log: t.Logf})
				defer run.end()
				if err := run.start(); err != nil {
					t.Fatal(err)
				}
				injector := run.faults()
				injector.sendCrashing(t.Context(), 12*time.Second)
				run.callWhile(t.Context(), injector.running.Wait)
				report := run.ledger.result()
				for _, violation := range report.Violations {
					t.Error(violation)
				}
				if report.Crashes < toleratedCrashes || report.Served == 0 {
					t.Errorf("the run shows nothing: %+v", report)
				}
				t.Logf("%+v", report)
			})
		})
	}
}
