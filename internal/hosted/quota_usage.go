package hosted

import (
	"time"

	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/quota"
)

const (
	// limitEndDelay is how long after the last refusal of a request a tenant counts as no longer
	// limited.
	limitEndDelay = 5 * time.Second
	// namedTenants bounds the tenants that metrics list by name; OtherTenants stands for the rest.
	namedTenants = 100
	// OtherTenants is the name under which the rest are summed up.
	OtherTenants = "(others)"
)

// TenantUsage counts the requests of a tenant at this node since it started.
type TenantUsage struct {
	Tenant            string
	Admitted, Refused uint64
	// Limited is set while requests are being refused.
	Limited bool
}

// usage counts admitted and refused requests by tenant. It is safe for concurrent use.
type usage struct {
	events QuotaEvents

	mu      contain.Mutex
	tenants map[string]*tenantCounts
	// order are the tenants in the order of their first requests.
	order []string
}

type tenantCounts struct {
	admitted, refused uint64
	// since is when requests began to be refused, zero while none is; last is when the last one was
	// refused.
	since, last time.Time
	// admittedBefore and refusedBefore are the counts at since, admittedAtLast that at last.
	admittedBefore, refusedBefore uint64
	admittedAtLast                uint64
}

func newUsage(events QuotaEvents) usage {
	return usage{events: events, tenants: map[string]*tenantCounts{}}
}

// count counts one request.
func (u *usage) count(now time.Time, tenant string, limit quota.Limit, admitted bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	c, known := u.tenants[tenant]
	if !known {
		c = &tenantCounts{}
		u.tenants[tenant] = c
		u.order = append(u.order, tenant)
	}
	if admitted {
		c.admitted++
		return
	}
	if c.since.IsZero() {
		c.since, c.admittedBefore, c.refusedBefore = now, c.admitted, c.refused
		u.events.TenantLimited(tenant, limit)
	}
	c.refused++
	c.last, c.admittedAtLast = now, c.admitted
}

// review ends the limited state of tenants that have had no refusal for limitEndDelay.
func (u *usage) review(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for tenant, c := range u.tenants {
		if !c.since.IsZero() && now.Sub(c.last) >= limitEndDelay {
			u.events.TenantLimitEnded(tenant, c.admittedAtLast-c.admittedBefore, c.refused-c.refusedBefore, c.last.Sub(c.since))
			c.since = time.Time{}
		}
	}
}

// read returns the first namedTenants by name, and the sum of all others.
func (u *usage) read() []TenantUsage {
	u.mu.Lock()
	defer u.mu.Unlock()
	var read []TenantUsage
	for i, tenant := range u.order {
		c := u.tenants[tenant]
		one := TenantUsage{Tenant: tenant, Admitted: c.admitted, Refused: c.refused, Limited: !c.since.IsZero()}
		if i < namedTenants {
			read = append(read, one)
			continue
		}
		if i == namedTenants {
			read = append(read, TenantUsage{Tenant: OtherTenants})
		}
		others := &read[namedTenants]
		others.Admitted += one.Admitted
		others.Refused += one.Refused
		others.Limited = others.Limited || one.Limited
	}
	return read
}

// QuotaReading is a node's state of limits, for metrics.
type QuotaReading struct {
	Tenants  []TenantUsage
	Holdings quota.Holdings
	// SinceHubAnswered is how long ago the hub of the zone last answered; zero at the hub.
	SinceHubAnswered time.Duration
}

// Reading returns the state that metrics show.
func (q *Quotas) Reading() QuotaReading {
	now := q.now()
	return QuotaReading{Tenants: q.usage.read(), Holdings: q.node.Holdings(now), SinceHubAnswered: q.node.SinceHubAnswered(now)}
}
