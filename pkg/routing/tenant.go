package routing

import (
	"iter"

	"github.com/levertide/levertide/pkg/model"
)

// Tenant is a tenant of one snapshot. It is immutable.
type Tenant struct {
	Name   string
	Config *model.Tenant
}

// tenantIndex finds tenants by the digests of their keys.
type tenantIndex struct {
	byName map[string]*Tenant
	// byKey holds nil for a key that several tenants list: it does not identify which of
	// them a call comes from, and so it authenticates nobody.
	byKey map[model.KeyDigest]*Tenant
}

func indexTenants(tenants iter.Seq2[string, *model.Tenant]) tenantIndex {
	count, keys := 0, 0
	for _, config := range tenants {
		count++
		keys += len(config.Keys)
	}
	if count == 0 {
		return tenantIndex{}
	}
	index := tenantIndex{byName: make(map[string]*Tenant, count), byKey: make(map[model.KeyDigest]*Tenant, keys)}
	for name, config := range tenants {
		index.add(&Tenant{Name: name, Config: config})
	}
	return index
}

func (i *tenantIndex) add(tenant *Tenant) {
	i.byName[tenant.Name] = tenant
	for _, key := range tenant.Config.Keys {
		if holder, listed := i.byKey[key]; listed && holder != tenant {
			i.byKey[key] = nil
			continue
		}
		i.byKey[key] = tenant
	}
}

// HasTenants reports whether the snapshot has tenants. If it does, requests need a key
// unless their route is public.
func (t *Table) HasTenants() bool { return len(t.tenants.byName) > 0 }

// Tenant returns a tenant by its name.
func (t *Table) Tenant(name string) (*Tenant, bool) {
	tenant, found := t.tenants.byName[name]
	return tenant, found
}

// Authenticate reports whether a request for a route may proceed, and returns the tenant
// that sent it. The tenant is nil if the snapshot has no tenants, and for a request without
// a key on a public route. A key that no tenant holds is refused on a public route, too: its
// sender expects to be authenticated. keyPresent states whether the request carries a key.
func (t *Table) Authenticate(route *Route, key string, keyPresent bool) (*Tenant, bool) {
	switch {
	case !t.HasTenants():
		return nil, true
	case keyPresent:
		tenant := t.TenantOf(key)
		return tenant, tenant != nil
	default:
		return nil, route.Config.Public
	}
}

// TenantOf returns the tenant that holds a key; nil when none does, or several do. Only
// digests are compared, so that the time taken reveals nothing about the existing keys.
func (t *Table) TenantOf(key string) *Tenant {
	return t.tenants.byKey[model.DigestKey(key)]
}
