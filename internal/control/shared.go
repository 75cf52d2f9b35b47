package control

import (
	"sync"

	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/snapshot"
)

// Bounds of the caches of Shared, in entries.
const (
	maximumCachedDeltas       = 256
	maximumCachedRestrictions = 256
)

// Shared holds caches that all nodes of one process may have in common: encoded
// deltas, restricted snapshots and member records. It may be used by several
// goroutines. What it holds depends on nothing but its keys.
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

// delta returns the encoded difference between two snapshots, made once.
func (s *Shared) delta(base, target *snapshot.Snapshot) ([]byte, error) {
	key := deltaKey{base: base.Digest(), target: target.Digest()}
	encoded := s.deltas.get(key, func() encodedDelta {
		payload, err := snapshot.Diff(base, target).Encode()
		return encodedDelta{payload: payload, err: err}
	})
	return encoded.payload, encoded.err
}

// restrict returns the part of a snapshot that a scope covers, made once.
func (s *Shared) restrict(whole *snapshot.Snapshot, scope snapshot.Scope) *snapshot.Snapshot {
	if scope.All {
		return whole
	}
	key := restrictionKey{digest: whole.Digest(), version: whole.Version(), scope: scope}
	return s.restrictions.get(key, func() *snapshot.Snapshot { return whole.Restrict(scope) })
}

// flightCache makes each value once, however many ask at the same time, and
// drops the oldest entry when there are too many.
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
