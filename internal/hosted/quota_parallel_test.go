package hosted_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/levertide/levertide/internal/testwait"
	"github.com/levertide/levertide/pkg/quota"
)

// TestLimitIsTakenByManyAtOnce has many concurrent callers at three nodes of two zones, over a real
// network.
func TestLimitIsTakenByManyAtOnce(t *testing.T) {
	nodes := startNodes(t, newStore(), "a1", "a2", "b1")
	for _, n := range nodes {
		n.limited.Store(true)
	}
	limit := quota.Limit{Rate: 100, Burst: 100}
	for _, n := range nodes {
		testwait.Eventually(t, "a request is admitted", func() bool {
			_, ok := n.quotas.Take(t.Context(), "acme", limit)
			return ok
		})
	}
	began := time.Now()
	var spent, refused atomic.Int64
	var callers sync.WaitGroup
	for _, n := range nodes {
		for i := range 100 {
			callers.Go(func() {
				for range 5 {
					switch wait, ok := n.quotas.Take(t.Context(), "acme", limit); {
					case !ok && wait <= 0:
						t.Errorf("refused without a time to retry after")
					case !ok:
						refused.Add(1)
					case i%2 == 0:
						spent.Add(1)
					default:
						n.quotas.Return("acme")
						n.quotas.Reading()
					}
				}
			})
		}
	}
	callers.Wait()
	allowed := (limit.Rate*time.Since(began).Seconds()+limit.Burst)*1.1 + 20
	if n := spent.Load(); float64(n) > allowed || refused.Load() == 0 {
		t.Errorf("%d spent, %d refused, at most %.0f", n, refused.Load(), allowed)
	}
}

// TestHubAsksSeveralZonesAtOnce has a node that lacks tokens ask the hubs of two other zones at the
// same time. Each zone has a third of the burst of the limit.
func TestHubAsksSeveralZonesAtOnce(t *testing.T) {
	nodes := startNodes(t, newStore(), "a1", "b1", "c1")
	for _, n := range nodes {
		n.limited.Store(true)
	}
	limit := quota.Limit{Rate: 100, Burst: 300}
	for _, n := range nodes {
		testwait.Eventually(t, "a request is admitted", func() bool {
			_, ok := n.quotas.Take(t.Context(), "acme", limit)
			return ok
		})
	}
	time.Sleep(3 * time.Second)
	admitted := 0
	for range 200 {
		if _, ok := nodes[0].quotas.Take(t.Context(), "acme", limit); ok {
			admitted++
		}
	}
	if admitted < 150 {
		t.Errorf("%d of 200 admitted at a node, a third of what there is in all zones is 100", admitted)
	}
}
