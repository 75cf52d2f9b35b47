package forwarding

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/quota"
	"github.com/levertide/levertide/pkg/routing"
)

// principalHeader is sent with the hop of a call whose caller was authenticated by the node where
// it began: it holds the tenant, or is empty. It is trusted from other nodes and ignored from
// callers.
const principalHeader = "Levertide-Hop-Tenant"

// principal is the authenticated owner of a call, as determined by the node where the call began.
type principal struct {
	// checked is set when the configuration version in force at that node has tenants.
	checked bool
	// tenant is empty for a call without a key, whose route is public.
	tenant string
}

// principalOf returns the principal that another node sent with a call.
func principalOf(values []string) principal {
	if len(values) == 0 {
		return principal{}
	}
	return principal{checked: true, tenant: values[0]}
}

func (c *call) principal() principal {
	p := principal{checked: c.checked}
	switch {
	case c.tenant != nil:
		p.tenant = c.tenant.Name
	case c.parent != nil:
		p.tenant = c.parent.tenant
	}
	return p
}

// authenticate determines the tenant of the call by its key or, for a nested call, by its parent.
// Errors are those of package outcome.
func (c *call) authenticate(table *routing.Table) error {
	if !table.HasTenants() {
		c.plane.tenantsSince.reset()
		return nil
	}
	c.checked = true
	since := c.plane.tenantsSince.mark(c.began.Sub(c.plane.started))
	key, given := c.takeKey()
	nested := c.nested && !given
	if nested {
		parent, _ := c.plane.config.Dialect.parent(c.report.RequestID)
		c.parent = c.plane.running.parent(parent, c.began)
	}
	// An id alone proves nothing about a call whose parent does not run here.
	c.nested = c.parent != nil
	c.repeat = c.repeat && c.nested
	if c.nested {
		return nil
	}
	tenant, admitted := table.Authenticate(c.route, key, given)
	switch {
	case admitted:
		c.tenant = tenant
		return nil
	case nested && since < table.LongestCall():
		// The parent may have begun in a previous incarnation of this node, or when there were no
		// tenants: its run was then not recorded.
		return outcome.New(outcome.ParentUnknown)
	default:
		return outcome.New(outcome.Unauthenticated)
	}
}

// takeKey returns the key of the caller and removes it from the request: it must not be forwarded
// to anyone. The tenant that the caller states for itself is removed, too.
func (c *call) takeKey() (key string, given bool) {
	dialect := &c.plane.config.Dialect
	key, given = dialect.Key.Read(c.request.Header)
	dialect.Key.Strip(c.request.Header)
	delete(c.request.Header, dialect.Tenant)
	return key, given
}

// tenantsSince is the age of the node, in nanoseconds, when the first call arrived under a
// configuration version with tenants. Setting the clock does not change an age.
type tenantsSince struct{ age atomic.Int64 }

// mark returns how long ago the first such call arrived, given the current age of the node; zero
// when this is the first one.
func (s *tenantsSince) mark(age time.Duration) time.Duration {
	// Zero means that no call has arrived yet, so that a recorded age is at least 1.
	if s.age.CompareAndSwap(0, max(int64(age), 1)) {
		return 0
	}
	return age - time.Duration(s.age.Load())
}

// reset clears the recorded age. It is called when the version in force has no tenants.
func (s *tenantsSince) reset() {
	if s.age.Load() != 0 {
		s.age.Store(0)
	}
}

// charge counts the call against the limit of its tenant. Nested calls are not counted, since
// their parent has been.
func (c *call) charge(ctx context.Context) error {
	if c.plane.config.Quota == nil || c.tenant == nil {
		return nil
	}
	limit := quota.Limit{Rate: c.tenant.Config.Rate, Burst: c.tenant.Config.Burst}
	if limit.Unlimited() {
		return nil
	}
	wait, admitted := c.plane.config.Quota.Take(ctx, c.tenant.Name, limit)
	if !admitted {
		return outcome.WithRetryAfter(outcome.QuotaExceeded, quotaRetryAfter(wait, c.spareTime(), rand.Float64()))
	}
	c.charged = true
	return nil
}

// spareTime returns how much later the call could have arrived and still be answered within its
// target.
func (c *call) spareTime() time.Duration {
	work, _ := c.state.expected()
	// A retrying caller has less time left than the route's timeout.
	spent := max(c.route.Timeout-c.end.Sub(c.began), 0)
	return c.target() - spent - lastWorkReserve*work
}

// quotaRetryAfter returns after which time a caller beyond its tenant's limit is to retry. While
// a tenant stays beyond its limit, a caller that waited for its turn would be late and would take
// a token from one that could be answered in time. If the turn comes too late, the retries are
// therefore spread over the time within which their answers can still be in time.
func quotaRetryAfter(turn, spare time.Duration, draw float64) time.Duration {
	if turn <= spare || spare <= shortestRetryAfter {
		return turn
	}
	return shortestRetryAfter + time.Duration(draw*float64(spare-shortestRetryAfter))
}

// refund gives the call back to the limit of its tenant if no worker has run it.
func (c *call) refund(err error) {
	if c.charged && outcome.Of(err) == outcome.NotRun {
		c.charged = false
		c.plane.config.Quota.Return(c.tenant.Name)
	}
}

// authenticatedRank returns the rank of a call under a configuration version with tenants. A
// nested call has that of its parent, raised because the parent's work is lost when the nested
// call fails.
func (c *call) authenticatedRank() int {
	if c.parent != nil {
		return nestedRankOf(*c.parent)
	}
	route := c.route.Config.Rank
	if c.tenant == nil {
		return rankOf(route, route, c.step())
	}
	return rankOf(c.tenant.Config.Rank, route, c.step())
}
