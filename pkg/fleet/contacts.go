package fleet

import (
	"sync"
	"sync/atomic"
	"time"
)

// Contacts is what one node believes of whether it reaches the others. A node
// that was never tried counts as reachable. It is safe for concurrent use.
type Contacts struct {
	mutex sync.Mutex
	lost  map[string]lostContact
	// count is the number of lost nodes: mostly there are none, and calls ask often.
	count atomic.Int32
}

type lostContact struct {
	since, next time.Time
	failures    int
}

// Pauses between tries of a node that cannot be reached.
const (
	firstContactPause   = 200 * time.Millisecond
	longestContactPause = 3 * time.Second
)

// NewContacts returns beliefs of a node that has tried nobody.
func NewContacts() *Contacts { return &Contacts{lost: map[string]lostContact{}} }

// Reached notes that a node answered or called. It reports whether the node was
// taken to be unreachable before.
func (c *Contacts) Reached(id string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_, was := c.lost[id]
	delete(c.lost, id)
	c.count.Store(int32(len(c.lost)))
	return was
}

// Failed notes that a node could not be reached. It reports whether it was taken
// to be reachable before. Jitter from 0 to 1 spreads the next try.
func (c *Contacts) Failed(id string, now time.Time, jitter float64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	contact, known := c.lost[id]
	if !known {
		contact.since = now
	}
	contact.failures++
	pause := min(firstContactPause<<min(contact.failures-1, 8), longestContactPause)
	contact.next = now.Add(pause/2 + time.Duration(float64(pause)*jitter))
	c.lost[id] = contact
	c.count.Store(int32(len(c.lost)))
	return !known
}

// Reachable reports whether a node is taken to be reachable.
func (c *Contacts) Reachable(id string) bool {
	if c.count.Load() == 0 {
		return true
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_, lost := c.lost[id]
	return !lost
}

// Due returns the unreachable nodes whose next try has come.
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

// LostSince returns since when a node is unreachable; false when it is not.
func (c *Contacts) LostSince(id string) (time.Time, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	contact, lost := c.lost[id]
	return contact.since, lost
}
