package snapshot

import (
	"iter"
	"sort"

	"github.com/levertide/levertide/pkg/model"
)

// Snapshot is an immutable, numbered and closed set of resources. It may be
// used by several goroutines.
type Snapshot struct {
	version uint64
	digest  model.Digest
	entries []*entry
}

// New builds a snapshot of declared resources. It fails with
// ErrDanglingReference, ErrDuplicate, ErrNotDeclarable or model.ErrMalformed,
// and keeps the pointers inside the given resources.
func New(version uint64, resources []model.Resource) (*Snapshot, error) {
	return Empty().Next(version, resources)
}

// Next is like New, but reuses the entries of this snapshot for resources that
// are identical to its own, with the same pointers, and so does not encode and
// hash these again.
func (s *Snapshot) Next(version uint64, resources []model.Resource) (*Snapshot, error) {
	entries := make([]*entry, 0, len(resources))
	for _, resource := range resources {
		if index, found := findEntry(s.entries, resource.Key); found && s.entries[index].resource == resource {
			entries = append(entries, s.entries[index])
			continue
		}
		if err := resource.CheckShape(); err != nil {
			return nil, err
		}
		if resource.Key.Kind == model.KindOutOfScope {
			return nil, ErrNotDeclarable.New("%s cannot be declared", resource.Key)
		}
		entries = append(entries, newEntry(resource))
	}
	if err := sortEntries(entries); err != nil {
		return nil, err
	}
	return fromEntries(version, entries)
}

// Empty returns the snapshot without resources and with version zero. It is the
// base of a delta that holds a complete snapshot.
func Empty() *Snapshot { return emptySnapshot }

var emptySnapshot = &Snapshot{digest: digestEntries(nil)}

// fromEntries builds a snapshot of entries, which must be sorted and free of
// duplicates. The snapshot takes ownership of the slice.
func fromEntries(version uint64, entries []*entry) (*Snapshot, error) {
	snapshot := &Snapshot{version: version, entries: entries}
	if err := snapshot.checkClosed(); err != nil {
		return nil, err
	}
	snapshot.digest = digestEntries(entries)
	return snapshot, nil
}

// checkClosed returns ErrDanglingReference unless the set contains every service
// and secret that its routes name.
func (s *Snapshot) checkClosed() error {
	for name, route := range s.Routes() {
		if _, found := s.Service(route.Service); !found {
			return ErrDanglingReference.New("route %s names service %s, which is not in the set", name, route.Service)
		}
		for _, backend := range route.Backends {
			if _, found := s.Service(backend.Service); !found {
				return ErrDanglingReference.New("route %s names service %s, which is not in the set", name, backend.Service)
			}
		}
		if route.Credential == nil {
			continue
		}
		if _, found := s.Secret(route.Credential.Secret); !found {
			return ErrDanglingReference.New("route %s names secret %s, which is not in the set", name, route.Credential.Secret)
		}
	}
	return nil
}

// Version returns the version number of the snapshot.
func (s *Snapshot) Version() uint64 { return s.version }

// Digest returns the content address of the set. The version number is not part of
// it: equal contents have equal digests.
func (s *Snapshot) Digest() model.Digest { return s.digest }

// Len returns the number of resources, without entries for routes out of scope.
func (s *Snapshot) Len() int { return len(s.heldEntries()) }

// WithVersion returns the same content with another version number.
func (s *Snapshot) WithVersion(version uint64) *Snapshot {
	if version == s.version {
		return s
	}
	return &Snapshot{version: version, digest: s.digest, entries: s.entries}
}

// Keys returns the keys of all resources in order, without those of routes out of
// scope.
func (s *Snapshot) Keys() []model.Key {
	held := s.heldEntries()
	keys := make([]model.Key, len(held))
	for i, item := range held {
		keys[i] = item.key()
	}
	return keys
}

// Resource returns the resource with the given key.
func (s *Snapshot) Resource(key model.Key) (model.Resource, bool) {
	index, found := findEntry(s.entries, key)
	if !found {
		return model.Resource{}, false
	}
	return s.entries[index].resource, true
}

// ResourceDigest returns the content address of the resource with the given key.
func (s *Snapshot) ResourceDigest(key model.Key) (model.Digest, bool) {
	index, found := findEntry(s.entries, key)
	if !found {
		return model.Digest{}, false
	}
	return s.entries[index].digest, true
}

// Service returns the service with the given name.
func (s *Snapshot) Service(name string) (*model.Service, bool) {
	resource, found := s.Resource(model.Key{Kind: model.KindService, Name: name})
	return resource.Service, found
}

// Route returns the route with the given name.
func (s *Snapshot) Route(name string) (*model.Route, bool) {
	resource, found := s.Resource(model.Key{Kind: model.KindRoute, Name: name})
	return resource.Route, found
}

// Secret returns the secret with the given name.
func (s *Snapshot) Secret(name string) (*model.Secret, bool) {
	resource, found := s.Resource(model.Key{Kind: model.KindSecret, Name: name})
	return resource.Secret, found
}

// Resources yields all resources in the order of their keys, without routes out of
// scope.
func (s *Snapshot) Resources() iter.Seq[model.Resource] {
	return func(yield func(model.Resource) bool) {
		for _, item := range s.heldEntries() {
			if !yield(item.resource) {
				return
			}
		}
	}
}

// Services yields all services in the order of their names.
func (s *Snapshot) Services() iter.Seq2[string, *model.Service] {
	return func(yield func(string, *model.Service) bool) {
		for _, item := range s.ofKind(model.KindService) {
			if !yield(item.key().Name, item.resource.Service) {
				return
			}
		}
	}
}

// Routes yields all routes in the order of their names.
func (s *Snapshot) Routes() iter.Seq2[string, *model.Route] {
	return func(yield func(string, *model.Route) bool) {
		for _, item := range s.ofKind(model.KindRoute) {
			if !yield(item.key().Name, item.resource.Route) {
				return
			}
		}
	}
}

// Tenants yields all tenants in the order of their names.
func (s *Snapshot) Tenants() iter.Seq2[string, *model.Tenant] {
	return func(yield func(string, *model.Tenant) bool) {
		for _, item := range s.ofKind(model.KindTenant) {
			if !yield(item.key().Name, item.resource.Tenant) {
				return
			}
		}
	}
}

// OutOfScope yields, in the order of their names, the routes of the complete set
// that the snapshot does not hold although they overlap with routes that it holds.
// Of these only the match is known.
func (s *Snapshot) OutOfScope() iter.Seq2[string, model.Match] {
	return func(yield func(string, model.Match) bool) {
		for _, item := range s.ofKind(model.KindOutOfScope) {
			if !yield(item.key().Name, *item.resource.OutOfScope) {
				return
			}
		}
	}
}

// heldEntries returns the entries without those of routes out of scope, whose kind
// sorts before all others.
func (s *Snapshot) heldEntries() []*entry {
	return s.entries[len(s.ofKind(model.KindOutOfScope)):]
}

// ofKind returns the entries of one kind, which are contiguous.
func (s *Snapshot) ofKind(kind model.Kind) []*entry {
	first := sort.Search(len(s.entries), func(i int) bool { return s.entries[i].key().Kind >= kind })
	rest := s.entries[first:]
	return rest[:sort.Search(len(rest), func(i int) bool { return rest[i].key().Kind > kind })]
}
