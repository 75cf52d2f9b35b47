package dataplane

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/levertide/levertide/internal/testwait"
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/outcome"
)

// markedKey is the key of the tenant "acme". Nothing but the caller's node may see it.
const markedKey = "marked-key-of-acme"

// calls returns how many calls from callers have ended.
func (w *recordingObserver) calls() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.reports)
}

// publishTenants puts a private, a public and a route with a credential in force, and, with
// tenants, "acme".
func (m *mesh) publishTenants(version uint64, tenants bool) {
	public := testRoute("/open", model.RepeatNever)
	public.Public = true
	credential := testRoute("/credential", model.RepeatNever)
	credential.Credential = &model.Credential{Secret: "key", Header: "Authorization"}
	resources := []model.Resource{
		serviceNamed(testService),
		{Key: model.Key{Kind: model.KindSecret, Name: "key"}, Secret: &model.Secret{Value: "s3cret"}},
		routeNamed("private", testRoute("/file", model.RepeatNever)),
		routeNamed("public", public),
		routeNamed("credential", credential),
	}
	if tenants {
		resources = append(resources, model.Resource{
			Key: model.Key{Kind: model.KindTenant, Name: "acme"}, Tenant: &model.Tenant{Keys: []model.KeyDigest{model.DigestKey(markedKey)}},
		})
	}
	m.current.Store(m.snapshot(version, resources))
}

// TestTenantAuthentication calls through a node without a worker, and through the worker's own node.
func TestTenantAuthentication(t *testing.T) {
	m := newMesh(t)
	var seen atomic.Pointer[http.Header]
	beside := m.addHandler("beside", func(_ http.ResponseWriter, r *http.Request) {
		header := r.Header.Clone()
		seen.Store(&header)
	})
	m.publishTenants(2, true)
	cases := []struct {
		path, authorization string
		status              int
		tenant, passed      string
	}{
		{"/file", "Bearer " + markedKey, http.StatusOK, "acme", ""},
		{"/file", "", http.StatusUnauthorized, "", ""},
		{"/file", "Bearer other", http.StatusUnauthorized, "", ""},
		{"/file", "Token " + markedKey, http.StatusUnauthorized, "", ""},
		{"/open", "", http.StatusOK, "", ""},
		{"/open", "Basic b", http.StatusOK, "", "Basic b"},
		{"/open", "Bearer other", http.StatusUnauthorized, "", ""},
		{"/open", "Bearer " + markedKey, http.StatusOK, "acme", ""},
		{"/credential", "Bearer " + markedKey, http.StatusOK, "acme", "s3cret"},
	}
	for _, entry := range []*testNode{m.entry, beside} {
		m.entry = entry
		for _, c := range cases {
			seen.Store(nil)
			before := entry.watch.calls()
			got := m.call(http.MethodPost, c.path, "b", "Authorization", c.authorization, "Levertide-Tenant", "forged")
			name := fmt.Sprintf("%s %q", c.path, c.authorization)
			// The caller may have the answer before the call is reported.
			testwait.Eventually(t, "the call is reported", func() bool { return entry.watch.calls() > before })
			if got.err != nil || got.status != c.status {
				t.Errorf("%s: %d, %v", name, got.status, got.err)
				continue
			}
			if c.status != http.StatusOK {
				report := entry.watch.last()
				if seen.Load() != nil || report.Reason != outcome.Unauthenticated || got.header.Get("Retry-After") != "" || got.header.Get("Www-Authenticate") != "Bearer" {
					t.Errorf("%s: %+v, %v", name, report, got.header)
				}
				continue
			}
			header := *seen.Load()
			if header.Get("Levertide-Tenant") != c.tenant || len(header["Levertide-Tenant"]) > 1 || header.Get("Authorization") != c.passed {
				t.Errorf("%s: the worker got %v", name, header)
			}
			if strings.Contains(fmt.Sprint(header), markedKey) {
				t.Errorf("%s: the worker got the key", name)
			}
		}
	}
}

// TestKeysFollowTheVersionInForce adds tenants in one version and removes them in the next.
func TestKeysFollowTheVersionInForce(t *testing.T) {
	m := newMesh(t)
	var seen atomic.Pointer[http.Header]
	m.addHandler("beside", func(_ http.ResponseWriter, r *http.Request) {
		header := r.Header.Clone()
		seen.Store(&header)
	})
	for version, tenants := range []bool{false, true, false} {
		m.publishTenants(uint64(version+2), tenants)
		got := m.call(http.MethodPost, "/file", "b", "Authorization", "Bearer other")
		if want := map[bool]int{false: http.StatusOK, true: http.StatusUnauthorized}[tenants]; got.status != want {
			t.Errorf("version %d: %d", version+2, got.status)
		}
		if !tenants && (*seen.Load()).Get("Authorization") != "Bearer other" {
			t.Errorf("version %d: the worker got %v", version+2, *seen.Load())
		}
	}
}
