//go:build !race

// With the race detector, Go 1.26.8 crashes in a synctest bubble when a timer is already due
// as its channel is selected; scripts/go-test.sh runs these tests without it.

package hosted_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/levertide/levertide/internal/lab/hostedstore"
)

// TestEntryIsRenewedWhileTheDirectoryIsSearched guards against searches for lost nodes that put off the
// renewal of a running node's own entry until it has run out.
func TestEntryIsRenewedWhileTheDirectoryIsSearched(t *testing.T) {
	const (
		watched    = 10 * time.Minute
		step       = 100 * time.Millisecond
		longestGap = time.Minute
	)
	for _, size := range []int{4, 2} {
		t.Run(fmt.Sprint("one of ", size, " nodes is killed"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := meshWithEntries(t, size)
				m.nodes[0].kill()
				var missing, longest time.Duration
				for range watched / step {
					time.Sleep(step)
					for _, n := range m.nodes[1:] {
						since, leased := m.store.SinceRenewal(n.id())
						if !leased {
							missing += step
							continue
						}
						longest = max(longest, since)
					}
				}
				t.Logf("%v of running nodes without an entry, %v without a renewal at most", missing, longest)
				if missing > 0 {
					t.Errorf("running nodes were without an entry for %v in all", missing)
				}
				if longest >= longestGap {
					t.Errorf("an entry was not renewed for %v", longest)
				}
			})
		})
	}
}

// TestRefusedRenewalIsTriedAgainBeforeTheLeaseEnds guards against entries that run out since nodes wait
// a whole interval after a renewal that the store has refused.
func TestRefusedRenewalIsTriedAgainBeforeTheLeaseEnds(t *testing.T) {
	const (
		size    = 24
		rounds  = 5
		refused = 50 * time.Second
		after   = 2 * time.Minute
		step    = 100 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		m := meshWithEntries(t, size)
		for round := range rounds {
			m.store.SetFaults("", hostedstore.Faults{RefuseRenewals: true})
			time.Sleep(refused)
			m.store.SetFaults("", hostedstore.Faults{})
			for range after / step {
				time.Sleep(step)
				if entries := m.store.Entries(); entries < size {
					t.Fatalf("round %d: %d of %d nodes have an entry", round, entries, size)
				}
			}
		}
	})
}
