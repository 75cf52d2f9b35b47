package control

import (
	"sync"

	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/snapshot"
)

// Capacities of the caches of Shared, in entries.
const (
	maximumCachedDeltas       = 256
	maximumCachedRestrictions = 256
)

// Shared holds caches that all nodes of one process may share: encoded deltas,
// restricted snapshots and member records. It is safe for concurrent use. A
// cached value depends on its key only.
type Shared struct {
	deltas       *flightCache[deltaKey, encodedDelta]
	restrictions *flightCache[restrictionKey, *snapshot.Snapshot]
	interner     *membership.Interner
}

// NewShared returns empty caches.
func NewShared() *Shared {
	return &Shared{
		deltas:       newFlightCache[deltaKey, encodedDelta](maximumCachedDeltas),
		restrictions: newFlightCache[restrictionKey, *snapshot.Snapshot](maximumCachedRestrictions),
		interner:     membership.NewInterner(),
	}
}

type deltaKey struct {
	base   model.Digest
	target model.Digest
}

type encodedDelta struct {
	payload []byte
	err     error
}

type restrictionKey struct {
	digest  model.Digest
	version uint64
	scope   snapshot.Scope
}

// delta returns the encoded difference between two snapshots, computed once.
func (s *Shared) delta(base, target *snapshot.Snapshot) ([]byte, error) {
	key := deltaKey{base: base.Digest(), target: target.Digest()}
	encoded := s.deltas.get(key, func() encodedDelta {
		payload, err := snapshot.Diff(base, target).Encode()
		return encodedDelta{payload: payload, err: err}
	})
	return encoded.payload, encoded.err
}

// restrict returns the part of a snapshot that a scope covers, computed once.
func (s *Shared) restrict(complete *snapshot.Snapshot, scope snapshot.Scope) *snapshot.Snapshot {
	if scope.All {
		return complete
	}
	key := restrictionKey{digest: complete.Digest(), version: complete.Version(), scope: scope}
	return s.restrictions.get(key, func() *snapshot.Snapshot { return complete.Restrict(scope) })
}

// flightCache builds each value once, even when several callers request it at the
// same time, and evicts the oldest entry when it is full.
type flightCache[Key comparable, Value any] struct {
	mutex    sync.Mutex
	capacity int
	entries  map[Key]*flight[Value]
	order    []Key
}

type flight[Value any] struct {
	once  sync.Once
	value Value
}

func newFlightCache[Key comparable, Value any](capacity int) *flightCache[Key, Value] {
	return &flightCache[Key, Value]{capacity: capacity, entries: make(map[Key]*flight[Value])}
}

func (c *flightCache[Key, Value]) get(key Key, build func() Value) Value {
	found := c.find(key)
	found.once.Do(func() { found.value = build() })
	return found.value
}

func (c *flightCache[Key, Value]) find(key Key) *flight[Value] {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if found, ok := c.entries[key]; ok {
		return found
	}
	if len(c.order) >= c.capacity {
		delete(c.entries, c.order[0])
		c.order = c.order[1:]
	}
	added := &flight[Value]{}
	c.entries[key] = added
	c.order = append(c.order, key)
	return added
}
