package routing

import (
	"testing"

	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/snapshot"
)

func tenantWith(name string, keys ...string) model.Resource {
	tenant := &model.Tenant{}
	for _, key := range keys {
		tenant.Keys = append(tenant.Keys, model.DigestKey(key))
	}
	return model.Resource{Key: model.Key{Kind: model.KindTenant, Name: name}, Tenant: tenant}
}

func tableOf(t *testing.T, resources ...model.Resource) *Table {
	t.Helper()
	source, err := snapshot.New(1, append(resources, serviceCalling("ledger")))
	if err != nil {
		t.Fatal(err)
	}
	table, err := Compile(source)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// TestTenantOfAKey includes a key that several tenants list, and one that a tenant lists twice.
func TestTenantOfAKey(t *testing.T) {
	table := tableOf(t, tenantWith("one", "k1", "k2", "k2"), tenantWith("two", "k3", "shared"), tenantWith("three", "shared"), tenantWith("four", "shared"))
	for key, want := range map[string]string{"k1": "one", "k2": "one", "k3": "two", "shared": "", "k4": "", "": ""} {
		got := ""
		if tenant := table.TenantOf(key); tenant != nil {
			got = tenant.Name
		}
		if got != want {
			t.Errorf("key %q is of %q, want %q", key, got, want)
		}
	}
	if _, found := table.Tenant("three"); !found || !table.HasTenants() {
		t.Error("a tenant is missing")
	}
}

func TestWithoutTenants(t *testing.T) {
	table := tableOf(t)
	if table.HasTenants() || table.TenantOf("k") != nil || table.TenantOf("") != nil {
		t.Error("there are no tenants")
	}
}

// TestTenantWithoutKeys checks that a version whose tenants have no keys is not mistaken
// for a version without tenants, which accepts requests without a key.
func TestTenantWithoutKeys(t *testing.T) {
	if table := tableOf(t, tenantWith("one")); !table.HasTenants() {
		t.Error("a tenant without keys was not counted")
	}
}
