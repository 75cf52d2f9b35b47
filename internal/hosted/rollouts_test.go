//go:build !race

// With the race detector, Go 1.26.8 crashes in a synctest bubble when a timer is already due
// as its channel is selected; scripts/go-test.sh runs these tests without it.

package hosted_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/levertide/levertide/internal/lab/hostedstore"
	"github.com/levertide/levertide/pkg/canary"
	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/workers"
)

const (
	previousVersion, nextVersion = "v1", "v2"
	// rolloutTime is the duration that orders allow a roll-out in these tests.
	rolloutTime = 15 * time.Second
)

// traffic is a mesh with requests for a service that moves to another version.
type traffic struct {
	*simulated
	random *rand.Rand
	// failing is the share of requests that the next version fails from the given time on.
	failing float64
	from    time.Time

	asked, exposed, bad int
	fiftieth, lastSent  time.Time
	dead                map[int]bool
}

// startTraffic starts a mesh in which every second node has a worker of the next version.
func startTraffic(t *testing.T, size int, seed uint64) *traffic {
	t.Helper()
	tr := &traffic{simulated: startSimulated(t, size), random: rand.New(rand.NewPCG(seed, 9)), dead: map[int]bool{}}
	for i, n := range tr.nodes {
		mustHeartbeat(t, n, rolloutWorker(i, 0))
	}
	time.Sleep(2 * time.Second)
	return tr
}

// rolloutWorker returns a heartbeat of the n-th worker at a place: every second place has the next
// version.
func rolloutWorker(place, n int) workers.Heartbeat {
	version := previousVersion
	if place%2 == 1 {
		version = nextVersion
	}
	return workers.Heartbeat{
		Instance: fmt.Sprintf("i%d-%d", place, n), Service: "ledger", Address: netip.MustParseAddrPort("127.0.0.1:1"), Version: version, Slots: 6, Sequence: 1,
	}
}

// step has each living node send some requests to versions as its own decision divides them.
func (tr *traffic) step() {
	const each = 3
	now := time.Now()
	for i, n := range tr.nodes {
		if tr.dead[i] {
			continue
		}
		share, known := n.steering.share()
		for range each {
			next := known && tr.random.Float64() < share
			tr.asked++
			worker := tr.worker(next)
			failed := false
			if next {
				tr.exposed++
				tr.lastSent = now
				failed = now.After(tr.from) && tr.random.Float64() < tr.failing
			}
			if failed {
				tr.bad++
				if tr.bad == 50 {
					tr.fiftieth = now
				}
			}
			worker.steering.ran(failed)
		}
	}
}

// worker draws a living node with a worker of the given version.
func (tr *traffic) worker(next bool) *testNode {
	for {
		i := tr.random.IntN(len(tr.nodes))
		if !tr.dead[i] && (i%2 == 1) == next {
			return tr.nodes[i]
		}
	}
}

// play sends requests until the store has a final state or the time is over, and calls at in each
// step with the time since the start. It returns the state.
func (tr *traffic) play(at func(since time.Duration)) canary.State {
	began := time.Now()
	for time.Since(began) < rolloutTime+5*time.Second {
		tr.step()
		if at != nil {
			at(time.Since(began))
		}
		time.Sleep(50 * time.Millisecond)
		if state := tr.store.Status("ledger").State; state.Final() && time.Since(began) > rolloutTime {
			break
		}
	}
	return tr.store.Status("ledger").State
}

// expectBounds checks that a bad version gets few requests, and none long after its fiftieth bad
// answer.
func (tr *traffic) expectBounds(t *testing.T) {
	t.Helper()
	const share, slack, rollBack = 0.1, 50, 5 * time.Second
	if most := share*float64(tr.asked) + slack; float64(tr.exposed) > most {
		t.Errorf("the bad version got %d of %d requests, at most %.0f are allowed", tr.exposed, tr.asked, most)
	}
	if !tr.fiftieth.IsZero() && tr.lastSent.Sub(tr.fiftieth) > rollBack {
		t.Errorf("the bad version got a request %v after its fiftieth bad answer", tr.lastSent.Sub(tr.fiftieth))
	}
	t.Logf("the bad version got %d of %d requests, %d bad answers", tr.exposed, tr.asked, tr.bad)
}

func TestGoodVersionTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := startTraffic(t, 24, 1)
		tr.store.Order("ledger", nextVersion, rolloutTime)
		var completedAt time.Duration
		state := tr.play(func(since time.Duration) {
			if completedAt == 0 && tr.store.Status("ledger").State == canary.Completed {
				completedAt = since
				for i, n := range tr.nodes {
					if share, known := n.steering.share(); !known || share != 1 {
						t.Errorf("node %d gives %v to the next version when it is completed", i, share)
					}
				}
			}
		})
		if state != canary.Completed || completedAt > rolloutTime {
			t.Errorf("%v, completed after %v", state, completedAt)
		}
	})
}

func TestBadVersionIsLeft(t *testing.T) {
	for name, test := range map[string]struct {
		failing float64
		after   time.Duration
	}{
		"at once":   {failing: 0.2},
		"later":     {failing: 0.3, after: 6 * time.Second},
		"very late": {failing: 0.5, after: 8200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tr := startTraffic(t, 24, 2)
				tr.failing, tr.from = test.failing, time.Now().Add(test.after)
				tr.store.Order("ledger", nextVersion, rolloutTime)
				if state := tr.play(nil); state != canary.RolledBack {
					t.Errorf("ended %v", state)
				}
				tr.expectBounds(t)
			})
		})
	}
}

// TestRolloutOutlivesItsCoordinators kills the coordinator twice, each time the current one, around
// the time when the version becomes bad.
func TestRolloutOutlivesItsCoordinators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := startTraffic(t, 24, 3)
		tr.failing, tr.from = 0.3, time.Now().Add(4*time.Second)
		tr.store.Order("ledger", nextVersion, rolloutTime)
		kills := []time.Duration{2 * time.Second, 4500 * time.Millisecond}
		state := tr.play(func(since time.Duration) {
			if len(kills) > 0 && since > kills[0] {
				kills = kills[1:]
				tr.killCoordinator()
			}
		})
		if state != canary.RolledBack {
			t.Errorf("ended %v", state)
		}
		tr.expectBounds(t)
	})
}

// killCoordinator kills the coordinator.
func (tr *traffic) killCoordinator() {
	for i, n := range tr.nodes {
		if tr.dead[i] {
			continue
		}
		first := fleet.Readers(n.table.View(), n.contacts.Reachable, 1)
		for j, other := range tr.nodes {
			if len(first) == 1 && other.table.View().Self().ID == first[0] {
				tr.dead[j] = true
				other.kill()
				return
			}
		}
	}
}

// TestRolloutWhileTheStoreIsAway has the store not answer for 5 s while a version is bad.
func TestRolloutWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := startTraffic(t, 24, 4)
		tr.failing, tr.from = 0.3, time.Now().Add(3*time.Second)
		tr.store.Order("ledger", nextVersion, rolloutTime)
		state := tr.play(func(since time.Duration) {
			tr.store.SetFaults("", hostedstore.Faults{Silent: since > 3*time.Second && since < 8*time.Second})
		})
		if state != canary.RolledBack {
			t.Errorf("ended %v", state)
		}
		tr.expectBounds(t)
	})
}

// TestVersionWithoutWorkersIsGivenUp orders a version that no worker runs.
func TestVersionWithoutWorkersIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := startTraffic(t, 12, 5)
		tr.store.Order("ledger", "v3", rolloutTime)
		if state := tr.play(nil); state != canary.RolledBack {
			t.Errorf("ended %v", state)
		}
		if tr.exposed > 0 {
			t.Errorf("%d requests went to a version without workers", tr.exposed)
		}
	})
}
