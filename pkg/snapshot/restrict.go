package snapshot

import "github.com/levertide/levertide/pkg/model"

// Scope says which part of a snapshot a node needs to hold.
type Scope struct {
	// All covers the complete snapshot, which relays and gateways need.
	All bool
	// Service is the service of the node's worker. The scope covers it, the services
	// that it calls, the routes to all of these, the secrets that these routes use,
	// and all tenants, since any of them may call. Without All and without Service
	// the scope is empty.
	Service string
}

// Restrict returns the part of the snapshot that a scope covers, under the
// same version number. It is closed, and shares its resources with s. A service
// whose Calls is nil may call every service, so its scope covers everything; a
// service that is not in the snapshot covers nothing.
//
// A route that the scope does not cover, but whose requests a covered route would
// otherwise match, stays as an entry of OutOfScope, without its service and its
// secret.
func (s *Snapshot) Restrict(scope Scope) *Snapshot {
	if scope.All {
		return s
	}
	own, found := s.Service(scope.Service)
	if !found {
		return Empty().WithVersion(s.version)
	}
	if own.Calls == nil {
		return s
	}
	kept := s.reachable(scope.Service, own)
	if len(kept) == len(s.entries) {
		return s
	}
	return &Snapshot{version: s.version, digest: digestEntries(kept), entries: kept}
}

// reachable returns the entries that a worker of the service can need, in order.
func (s *Snapshot) reachable(name string, own *model.Service) []*entry {
	services := nameSet{name: {}}
	for _, callee := range own.Calls {
		services[callee] = struct{}{}
	}
	covered, others := s.routesTo(services)
	kept := s.overlapping(covered, others)
	kept = append(kept, covered...)
	kept = appendNamed(kept, s.ofKind(model.KindSecret), secretsOf(covered))
	kept = appendNamed(kept, s.ofKind(model.KindService), services)
	return append(kept, s.ofKind(model.KindTenant)...)
}

// nameSet is a set of names of one kind.
type nameSet map[string]struct{}

func (n nameSet) has(name string) bool {
	_, found := n[name]
	return found
}

// routesTo splits the routes into those that lead to the services and the others.
func (s *Snapshot) routesTo(services nameSet) (covered, others []*entry) {
	for _, item := range s.ofKind(model.KindRoute) {
		if leadsTo(item.resource.Route, services) {
			covered = append(covered, item)
		} else {
			others = append(others, item)
		}
	}
	return covered, others
}

// leadsTo reports whether every service that a route may send to is in the given
// set. A route with a backend outside the set is left out, since it needs a service
// that the scope does not cover.
func leadsTo(route *model.Route, services nameSet) bool {
	for _, backend := range route.Backends {
		if !services.has(backend.Service) {
			return false
		}
	}
	return services.has(route.Service)
}

// secretsOf returns the names of the secrets that routes use.
func secretsOf(routes []*entry) nameSet {
	names := nameSet{}
	for _, item := range routes {
		if credential := item.resource.Route.Credential; credential != nil {
			names[credential.Secret] = struct{}{}
		}
	}
	return names
}

// appendNamed appends the items whose names are in the set.
func appendNamed(kept, items []*entry, names nameSet) []*entry {
	for _, item := range items {
		if names.has(item.key().Name) {
			kept = append(kept, item)
		}
	}
	return kept
}
