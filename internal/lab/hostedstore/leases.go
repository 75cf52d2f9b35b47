package hostedstore

import (
	"maps"
	"time"

	"github.com/levertide/levertide/internal/hosted"
)

// grant is a lease that was granted and has not ended.
type grant struct {
	ttl time.Duration
	// renewed is when the call that granted the lease, or renewed it last, arrived.
	renewed time.Time
}

// ended reports whether the time to live has passed.
func (g grant) ended(now time.Time) bool { return now.Sub(g.renewed) >= g.ttl }

// lockCurrent locks the mutex, and ends the leases whose time to live has passed. Their entries leave
// with them.
func (s *Store) lockCurrent() {
	s.mutex.Lock()
	now := time.Now()
	maps.DeleteFunc(s.granted, func(_ hosted.Lease, g grant) bool { return g.ended(now) })
	maps.DeleteFunc(s.entries, func(_ string, e entry) bool { return e.lease != "" && !s.isGranted(e.lease) })
}

// isGranted reports whether a lease was granted and has not ended. The mutex is held.
func (s *Store) isGranted(lease hosted.Lease) bool {
	_, granted := s.granted[lease]
	return granted
}

// SinceRenewal returns the time since the lease of a node's entry was granted or renewed; false when
// the node has no entry with a lease.
func (s *Store) SinceRenewal(id string) (time.Duration, bool) {
	s.lockCurrent()
	defer s.mutex.Unlock()
	g, leased := s.granted[s.entries[id].lease]
	return time.Since(g.renewed), leased
}
