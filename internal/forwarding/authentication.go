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

// principalHeader goes with a hop of a call whose caller was authenticated where it began:
// its tenant, or nothing. Other nodes are trusted; from callers the header is not taken.
const principalHeader = "Levertide-Hop-Tenant"

// principal is whose a call is, as the node has found where it began.
type principal struct {
	// checked tells that the version in force there has tenants.
	checked bool
	// tenant is empty for a call without a key, whose route is public.
	tenant string
}

// principalOf returns what another node has told of a call.
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

// authenticate finds whose the call is, by its key or, for a call of a worker, by the one
// that it is made for. Errors are those of package outcome.
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
	// An id alone says nothing of a call whose parent does not run here.
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
		// The parent may have begun in a former life of this node, or when there were no
		// tenants: its run was not noted.
		return outcome.New(outcome.ParentUnknown)
	default:
		return outcome.New(outcome.Unauthenticated)
	}
}

// takeKey returns the key of the caller and removes it from the request: it must go on to
// nobody. What the caller says of its tenant goes, too.
func (c *call) takeKey() (key string, given bool) {
	dialect := &c.plane.config.Dialect
	key, given = dialect.Key.Read(c.request.Header)
	dialect.Key.Strip(c.request.Header)
	delete(c.request.Header, dialect.Tenant)
	return key, given
}

// tenantsSince is the age of the node, in nanoseconds, when the first call came under a
// version with tenants. Setting the clock does not change an age.
type tenantsSince struct{ age atomic.Int64 }

// mark returns how long ago the first call came, at the given age of the node; zero when this
// is the first one.
func (s *tenantsSince) mark(age time.Duration) time.Duration {
	// Zero stands for no call.
	if s.age.CompareAndSwap(0, max(int64(age), 1)) {
		return 0
	}
	return age - time.Duration(s.age.Load())
}

// reset forgets the call: the version in force has no tenants.
func (s *tenantsSince) reset() {
	if s.age.Load() != 0 {
		s.age.Store(0)
	}
}

// charge takes the call from the limit of its tenant. Calls of workers take nothing, since
// the one that they are made for has.
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

// spareTime is how much later the call could have come with its answer still in time.
func (c *call) spareTime() time.Duration {
	work, _ := c.state.expected()
	// A caller that comes back has less time left than the route gives.
	spent := max(c.route.Timeout-c.end.Sub(c.began), 0)
	return c.target() - spent - lastWorkReserve*work
}

// quotaRetryAfter returns after which time a caller beyond its tenant's limit is to come back.
// While a tenant stays beyond its limit, a caller that waited for its turn would be late and
// would take a token from one that could be in time. Where the turn comes too late, callers
// are therefore spread over the time within which their answers can still be in time.
func quotaRetryAfter(turn, spare time.Duration, draw float64) time.Duration {
	if turn <= spare || spare <= shortestRetryAfter {
		return turn
	}
	return shortestRetryAfter + time.Duration(draw*float64(spare-shortestRetryAfter))
}

// refund gives back what a call took that no worker has run.
func (c *call) refund(err error) {
	if c.charged && outcome.Of(err) == outcome.NotRun {
		c.charged = false
		c.plane.config.Quota.Return(c.tenant.Name)
	}
}

// authenticatedRank is the rank of a call in a version with tenants. A call of a worker has
// that of the one it is made for, raised by what is lost when it fails.
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
