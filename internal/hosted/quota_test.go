//go:build !race

package hosted_test

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/levertide/levertide/internal/hosted"
	"github.com/levertide/levertide/internal/lab/hostedstore"
	"github.com/levertide/levertide/pkg/quota"
)

// limit has all nodes enforce limits.
func (m *simulated) limit() {
	for _, n := range m.nodes {
		n.limited.Store(true)
	}
}

// requests sends requests of a tenant for a time at a steady rate, each to the node that pick
// returns for its index, and returns when the admitted ones were admitted.
func (m *simulated) requests(t *testing.T, limit quota.Limit, rate float64, length time.Duration, pick func(i int) *testNode) (admitted []time.Time, sent int) {
	var mu sync.Mutex
	var open sync.WaitGroup
	for i := range int(rate * length.Seconds()) {
		n := pick(i)
		open.Go(func() {
			if _, ok := n.quotas.Take(t.Context(), "acme", limit); ok {
				mu.Lock()
				admitted = append(admitted, time.Now())
				mu.Unlock()
			}
		})
		sent++
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	open.Wait()
	slices.SortFunc(admitted, func(a, b time.Time) int { return a.Compare(b) })
	return admitted, sent
}

func (m *simulated) any(i int) *testNode { return m.nodes[i*7%len(m.nodes)] }

// withinLimit fails the test when any time window exceeds the limit by more than a tenth plus
// twenty.
func withinLimit(t *testing.T, limit quota.Limit, admitted []time.Time) {
	t.Helper()
	for i, from := range admitted {
		for j := i; j < len(admitted); j++ {
			allowed := (limit.Rate*admitted[j].Sub(from).Seconds()+limit.Burst)*1.1 + 20
			if n := float64(j - i + 1); n > allowed {
				t.Fatalf("%.0f admitted in %v, at most %.0f", n, admitted[j].Sub(from), allowed)
			}
		}
	}
}

// TestLimitOfAllNodes enforces a limit in a mesh of twelve nodes in four zones.
func TestLimitOfAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startSimulated(t, 12)
		m.limit()
		time.Sleep(5 * time.Second)
		limit := quota.Limit{Rate: 40, Burst: 40}
		for _, c := range []struct {
			what string
			pick func(i int) *testNode
		}{
			{"at all nodes", m.any},
			{"at one node", func(int) *testNode { return m.nodes[5] }},
			{"at another node each second", func(i int) *testNode { return m.nodes[i/36%12] }},
		} {
			admitted, sent := m.requests(t, limit, 36, 10*time.Second, c.pick)
			t.Logf("%s: %d of %d", c.what, len(admitted), sent)
			if float64(len(admitted)) < 0.98*float64(sent) {
				t.Errorf("%s: %d of %d admitted, all are within the limit", c.what, len(admitted), sent)
			}
			admitted, _ = m.requests(t, limit, 400, 5*time.Second, c.pick)
			withinLimit(t, limit, admitted)
			if len(admitted) < 200 {
				t.Errorf("%s: %d admitted of ten times the limit", c.what, len(admitted))
			}
			time.Sleep(6 * time.Second)
		}
		if events := m.nodes[5].events; !slices.Contains(events.limits, "acme limited") || events.limits[len(events.limits)-1] != "acme ended" {
			t.Errorf("limit events: %v", events.limits)
		}
	})
}

// TestLimitThatIsTakenAwayEnds puts a version without limits in force while requests of a tenant
// are refused.
func TestLimitThatIsTakenAwayEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startSimulated(t, 2)
		m.limit()
		time.Sleep(5 * time.Second)
		n := m.nodes[0]
		m.requests(t, quota.Limit{Rate: 1, Burst: 1}, 100, time.Second, func(int) *testNode { return n })
		for _, n := range m.nodes {
			n.limited.Store(false)
		}
		time.Sleep(10 * time.Second)
		if limits := n.events.limits; !slices.Equal(limits, []string{"acme limited", "acme ended"}) {
			t.Errorf("limit events: %v", limits)
		}
		if read := n.quotas.Reading().Tenants; len(read) != 1 || read[0].Limited {
			t.Errorf("metrics show %+v", read)
		}
	})
}

// TestLimitHoldsWhileNodesEnd restarts the nodes one by one, hubs included, then all at once, under
// ten times the limit.
func TestLimitHoldsWhileNodesEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startSimulated(t, 12)
		m.limit()
		time.Sleep(5 * time.Second)
		limit := quota.Limit{Rate: 40, Burst: 40}
		var admitted []time.Time
		var done sync.WaitGroup
		done.Go(func() { admitted, _ = m.requests(t, limit, 400, 14*time.Second, m.any) })
		restart := func(numbers ...int) {
			for _, n := range numbers {
				m.nodes[n].kill()
			}
			for _, n := range numbers {
				m.nodes[n] = m.start(t, n, false)
				m.nodes[n].limited.Store(true)
			}
		}
		time.Sleep(2 * time.Second)
		for n := range m.nodes {
			restart(n)
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		restart(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)
		done.Wait()
		withinLimit(t, limit, admitted)
		t.Logf("%d admitted in 14 s", len(admitted))
	})
}

// TestMeshWithoutLimitsSendsNothing counts the messages of a mesh without limits, and of one whose
// tenants with limits send no requests.
func TestMeshWithoutLimitsSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := startSimulated(t, 12)
		time.Sleep(10 * time.Second)
		if sent := m.sent().QuotaRequests; sent != 0 {
			t.Errorf("%d messages without a limit", sent)
		}
		m.limit()
		time.Sleep(5 * time.Second)
		before, crossed := m.sent().QuotaRequests, m.crossed.Load()
		time.Sleep(10 * time.Second)
		calm := m.sent().QuotaRequests - before
		t.Logf("%.1f messages a node and second, %d bytes between zones beside other messages' a second", float64(calm)/120, (m.crossed.Load()-crossed)/10)
		if calm > 3*120 {
			t.Errorf("%d messages of 12 nodes in ten calm seconds", calm)
		}
	})
}

// TestNodeWithoutContactToOthersAdmitsNothing has a node restart without contact to other nodes or
// the store: it cannot know how many nodes share the limits.
func TestNodeWithoutContactToOthersAdmitsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(func() { time.Sleep(time.Minute) })
		store := newStore()
		m := newSimulated(store)
		m.nodes = append(m.nodes, m.start(t, 0, true))
		m.within(t, 10*time.Second, "the first node is ready", func() bool { return m.nodes[0].agent.Ready() })
		m.limit()
		time.Sleep(5 * time.Second)
		limit := quota.Limit{Rate: 40, Burst: 40}
		if admitted, _ := m.requests(t, limit, 20, time.Second, m.any); len(admitted) < 20 {
			t.Errorf("%d of 20 admitted by a mesh of one", len(admitted))
		}
		store.SetFaults("", hostedstore.Faults{Silent: true})
		m.nodes[0].kill()
		m.nodes[0] = m.start(t, 0, false)
		m.limit()
		time.Sleep(5 * time.Second)
		if admitted, _ := m.requests(t, limit, 20, time.Second, m.any); len(admitted) > 0 {
			t.Errorf("%d admitted by a node that knows nothing", len(admitted))
		}
	})
}

var _ hosted.QuotaEvents = (*recorder)(nil)
