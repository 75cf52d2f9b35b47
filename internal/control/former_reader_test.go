package control

import (
	"sync/atomic"
	"testing"

	"github.com/levertide/levertide/pkg/membership"
)

// storeEvents counts the events on the reachability of the store.
type storeEvents struct {
	NoEvents
	reachable, unreachable atomic.Int64
}

func (e *storeEvents) StoreReachable()        { e.reachable.Add(1) }
func (e *storeEvents) StoreUnreachable(error) { e.unreachable.Add(1) }

// TestFormerReaderSeesThatTheStoreAnswersAgain has a reader become no candidate while the store is
// down.
func TestFormerReaderSeesThatTheStoreAnswersAgain(t *testing.T) {
	t.Parallel()
	m, events := newMesh(t), &storeEvents{}
	node := m.start("a0", "a", "ledger", func(config *Config) { config.Events = events })
	m.eventually("the node reads the store", func() bool { return slotOf(node) == 0 })
	m.down.Store(true)
	// The blocking read in progress ends, and the next one is refused.
	m.store.Restore(m.store.State())
	m.eventually("the node sees that the store is down", func() bool { return events.unreachable.Load() > 0 })
	node.mutex.Lock()
	// A node that leaves is planned as no candidate, and goes on for as long as the test wants.
	node.self.State = membership.StateLeaving
	node.reader.setWanted(false)
	node.mutex.Unlock()
	m.eventually("the node reads no more", func() bool { return slotOf(node) == noSlot })
	m.down.Store(false)
	m.eventually("the node sees that the store answers again", func() bool {
		return events.reachable.Load() == events.unreachable.Load()
	})
	if slotOf(node) != noSlot {
		t.Error("the run shows nothing: the node reads again")
	}
}

func slotOf(node *Node) int {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if !node.self.Reader {
		return noSlot
	}
	return node.reader.slot
}
