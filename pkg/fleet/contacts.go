package fleet

import (
	"sync/atomic"
	"time"

	"github.com/levertide/levertide/pkg/contain"
)

// Contacts holds which other nodes one node considers reachable. A node that was
// never contacted counts as reachable. It is safe for concurrent use.
type Contacts struct {
	mutex contain.Mutex
	lost  map[string]lostContact
	// count is the number of lost nodes. It spares the mutex in the usual case of none,
	// since every call checks reachability.
	count atomic.Int32
}

type lostContact struct {
	since, next time.Time
	failures    int
}

// Pauses between attempts to contact an unreachable node.
const (
	initialRetryPause = 200 * time.Millisecond
	maximumRetryPause = 3 * time.Second
)

// NewContacts returns contacts in which every node is reachable.
func NewContacts() *Contacts { return &Contacts{lost: map[string]lostContact{}} }

// Reached records that a node answered or called. It reports whether the node was
// considered unreachable before.
func (c *Contacts) Reached(id string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_, wasLost := c.lost[id]
	delete(c.lost, id)
	c.count.Store(int32(len(c.lost)))
	return wasLost
}

// Failed records that a node could not be reached. It reports whether the node was
// considered reachable before. A jitter from 0 to 1 spreads the time of the next attempt.
func (c *Contacts) Failed(id string, now time.Time, jitter float64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	contact, known := c.lost[id]
	if !known {
		contact.since = now
	}
	contact.failures++
	pause := min(initialRetryPause<<min(contact.failures-1, 8), maximumRetryPause)
	contact.next = now.Add(pause/2 + time.Duration(float64(pause)*jitter))
	c.lost[id] = contact
	c.count.Store(int32(len(c.lost)))
	return !known
}

// Reachable reports whether a node is considered reachable.
func (c *Contacts) Reachable(id string) bool {
	if c.count.Load() == 0 {
		return true
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_, lost := c.lost[id]
	return !lost
}

// Due returns the unreachable nodes whose next attempt is due.
func (c *Contacts) Due(now time.Time) []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var due []string
	for id, contact := range c.lost {
		if !contact.next.After(now) {
			due = append(due, id)
		}
	}
	return due
}

// LostSince returns when a node became unreachable; false when it is reachable.
func (c *Contacts) LostSince(id string) (time.Time, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	contact, lost := c.lost[id]
	return contact.since, lost
}
