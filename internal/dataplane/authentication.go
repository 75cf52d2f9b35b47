package dataplane

import (
	"net/http"

	"github.com/levertide/levertide/internal/httpconn"
	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/routing"
)

// tenantHeader carries the name of the tenant to the worker's node and to the worker. Like
// all headers with headerPrefix it is not accepted from callers.
const tenantHeader = headerPrefix + "Tenant"

// keyScheme defines how callers send their keys.
var keyScheme = httpconn.KeyScheme{Header: "Authorization", Scheme: "Bearer"}

// authenticate determines the tenant of the call. The key is removed from the request: it
// must not be forwarded.
func (c *callerCall) authenticate(table *routing.Table, route *routing.Route) error {
	if !table.HasTenants() {
		return nil
	}
	key, given := keyScheme.Read(c.request.Header)
	keyScheme.Strip(c.request.Header)
	tenant, admitted := table.Authenticate(route, key, given)
	if !admitted {
		c.writer.Header()["Www-Authenticate"] = []string{keyScheme.Scheme}
		return outcome.New(outcome.Unauthenticated)
	}
	if tenant != nil {
		c.tenant = tenant.Name
	}
	return nil
}

// setTenant adds the tenant, if there is one, to the headers of a forwarded request.
func setTenant(header http.Header, tenant string) {
	if tenant != "" {
		header[tenantHeader] = []string{tenant}
	}
}
