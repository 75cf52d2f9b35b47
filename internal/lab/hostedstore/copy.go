package hostedstore

import (
	"maps"

	"github.com/levertide/levertide/internal/hosted"
)

// Copy is the content of a store at one moment.
type Copy struct {
	revision, history uint64
	leases            uint64
	document          *hosted.Document
	entries           map[string]entry
	granted           map[hosted.Lease]grant
	orders            map[string]hosted.Order
	statuses          map[string]hosted.RolloutStatus
}

// Copy returns the present content of the store.
func (s *Store) Copy() *Copy {
	s.lockCurrent()
	defer s.mutex.Unlock()
	return &Copy{
		revision: s.revision, history: s.history, leases: s.leases, document: s.document,
		entries: maps.Clone(s.entries), granted: maps.Clone(s.granted),
		orders: maps.Clone(s.orders), statuses: maps.Clone(s.statuses),
	}
}

// Restore restores the store from a copy. Everything written since the copy, leases
// included, is gone, and revisions and names of leases are assigned a second time. What the
// operator has written since is lost until Rewrite.
func (s *Store) Restore(c *Copy) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.era++
	s.revision, s.history, s.leases, s.document = c.revision, c.history, c.leases, c.document
	s.entries, s.granted = maps.Clone(c.entries), maps.Clone(c.granted)
	s.orders, s.statuses = maps.Clone(c.orders), maps.Clone(c.statuses)
	s.wake()
}

// Rewrite has the operator write its newest document again, if the store lacks it.
func (s *Store) Rewrite() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.document == nil || s.document.Version < s.latest.Version {
		s.write(s.latest)
	}
}

// PutForeign writes an entry of a writer that is no node among those of the nodes.
func (s *Store) PutForeign(id string, content []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.entries[id] = entry{Entry: hosted.Entry{ID: id, Content: content, Revision: s.revision}}
}
