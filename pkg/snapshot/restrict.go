package snapshot

import "github.com/levertide/levertide/pkg/model"

// Scope says which part of a snapshot a node needs to hold.
type Scope struct {
	// All asks for everything, as relays and gateways need.
	All bool
	// Service is the service of the node's worker: the node holds it, the
	// services that it calls, the routes to all of these, and the secrets that
	// these routes use. Without All and without Service the scope is empty.
	Service string
}

// Restrict returns the part of the snapshot that a scope covers, under the
// same version number. It is closed, and shares its resources with s. A service
// whose Calls is nil may call every service, so its scope covers everything; a
// service that is not in the snapshot covers nothing.
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
	services := make(map[string]struct{}, len(own.Calls)+1)
	services[name] = struct{}{}
	for _, callee := range own.Calls {
		services[callee] = struct{}{}
	}
	secrets := map[string]struct{}{}
	var kept []*entry
	for _, item := range s.ofKind(model.KindRoute) {
		route := item.resource.Route
		if _, wanted := services[route.Service]; !wanted {
			continue
		}
		kept = append(kept, item)
		if route.Credential != nil {
			secrets[route.Credential.Secret] = struct{}{}
		}
	}
	kept = appendNamed(kept, s.ofKind(model.KindSecret), secrets)
	return appendNamed(kept, s.ofKind(model.KindService), services)
}

// appendNamed appends the items whose names are wanted.
func appendNamed(kept, items []*entry, wanted map[string]struct{}) []*entry {
	for _, item := range items {
		if _, found := wanted[item.key().Name]; found {
			kept = append(kept, item)
		}
	}
	return kept
}
