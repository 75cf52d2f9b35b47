package forwarding

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/quota"
)

// testQuota admits as many requests as left says.
type testQuota struct {
	mu             sync.Mutex
	left           int
	taken, given   int
	lastTenant     string
	lastLimit      quota.Limit
	retryAfterTime time.Duration
}

func (q *testQuota) Take(_ context.Context, tenant string, limit quota.Limit) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastTenant, q.lastLimit = tenant, limit
	if q.left == 0 {
		return q.retryAfterTime, false
	}
	q.left--
	q.taken++
	return 0, true
}

func (q *testQuota) Return(string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.given++
}

// TestCallsAreCharged counts the calls charged to the limit of their tenant.
func TestCallsAreCharged(t *testing.T) {
	worker := startWorker(t)
	node := startTenantNode(t, "a", "ledger", worker)
	limits := &testQuota{left: 2, retryAfterTime: 700 * time.Millisecond}
	node.plane.config.Quota = limits
	acme := tenantWithKeys(markedKey)
	acme.Rate, acme.Burst = 5, 3
	configureTenants(t, 1, map[string]*model.Tenant{"acme": acme, "free": tenantWithKeys("k2")}, node)
	expect := func(what string, status, wantStatus, taken, given int) {
		t.Helper()
		limits.mu.Lock()
		defer limits.mu.Unlock()
		if status != wantStatus || limits.taken != taken || limits.given != given {
			t.Errorf("%s: status %d, %d taken, %d given back", what, status, limits.taken, limits.given)
		}
	}
	status, _, _ := askWith(t, node, "/open/1")
	expect("a public route without a key", status, http.StatusOK, 0, 0)
	status, _, _ = askWith(t, node, "/file/1", "Token k2")
	expect("a tenant without a limit", status, http.StatusOK, 0, 0)
	status, _, _ = askWith(t, node, "/file/1", "Token "+markedKey)
	expect("a tenant with a limit", status, http.StatusOK, 1, 0)
	if limits.lastTenant != "acme" || limits.lastLimit != (quota.Limit{Rate: 5, Burst: 3}) {
		t.Errorf("%q %+v", limits.lastTenant, limits.lastLimit)
	}
	worker.answer(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	status, _, _ = askWith(t, node, "/file/1", "Token "+markedKey)
	expect("a call that no worker runs", status, http.StatusServiceUnavailable, 2, 1)
	calls := worker.calls.Load()
	status, header, _ := askWith(t, node, "/file/1", "Token "+markedKey)
	expect("beyond the limit", status, http.StatusTooManyRequests, 2, 1)
	if header.Get("Retry-After") != "0.700" || worker.calls.Load() != calls {
		t.Errorf("%v, %d calls of the worker", header, worker.calls.Load()-calls)
	}
	const asked, refused = 5, 1
	beyond := 0
	for range asked {
		if report := <-node.reports; report.Reason == outcome.QuotaExceeded && report.Outcome == outcome.NotRun {
			beyond++
		}
	}
	if beyond != refused {
		t.Errorf("%d calls are reported as beyond the limit", beyond)
	}
}

// TestWorkersCallsTakeNoQuota makes a worker send a nested call while the limit of the tenant is
// used up.
func TestWorkersCallsTakeNoQuota(t *testing.T) {
	worker := startWorker(t)
	node := startTenantNode(t, "a", "ledger", worker)
	node.plane.config.Quota = &testQuota{left: 1}
	acme := tenantWithKeys(markedKey)
	acme.Rate = 1
	configureTenants(t, 1, map[string]*model.Tenant{"acme": acme}, node)
	worker.answer(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/file/nested" {
			return
		}
		if status, body := nestedCall(t, node, "id-1/1"); status != http.StatusOK {
			t.Errorf("%d %q", status, body)
		}
	})
	if status, _, body := askWith(t, node, "/file/1", "Token "+markedKey); status != http.StatusOK {
		t.Errorf("%d %q", status, body)
	}
}

// TestRefusedCallersReturnInTime refuses callers of a tenant whose turn comes too late for them:
// each is given a retry time with which its answer can still be in time.
func TestRefusedCallersReturnInTime(t *testing.T) {
	const spare = 140 * time.Millisecond
	for _, draw := range []float64{0, 0.5, 0.999} {
		if wait := quotaRetryAfter(time.Second, spare, draw); wait < shortestRetryAfter || wait >= spare {
			t.Errorf("draw %v: %v", draw, wait)
		}
	}
	if wait := quotaRetryAfter(spare/2, spare, 0.5); wait != spare/2 {
		t.Errorf("retry after %v for a turn that is in time", wait)
	}
	if wait := quotaRetryAfter(time.Second, 0, 0.5); wait != time.Second {
		t.Errorf("retry after %v for a caller that cannot be in time", wait)
	}
}
