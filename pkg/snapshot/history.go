package snapshot

import (
	"sort"
	"sync"
)

// History retains the snapshots with the highest versions, so that deltas can
// start from the versions that other nodes still hold. It may be used by several
// goroutines.
type History struct {
	mutex     sync.RWMutex
	capacity  int
	snapshots []*Snapshot // ordered by version
}

// NewHistory returns a history of at most capacity snapshots, and at least one.
func NewHistory(capacity int) *History {
	return &History{capacity: max(capacity, 1)}
}

// Add retains a snapshot in place of one with the same version, and drops the
// lowest version when there are too many.
func (h *History) Add(snapshot *Snapshot) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	index, found := h.find(snapshot.version)
	if found {
		h.snapshots[index] = snapshot
		return
	}
	h.snapshots = append(h.snapshots, nil)
	copy(h.snapshots[index+1:], h.snapshots[index:])
	h.snapshots[index] = snapshot
	if len(h.snapshots) > h.capacity {
		h.dropLowest()
	}
}

// Get returns the snapshot with the given version.
func (h *History) Get(version uint64) (*Snapshot, bool) {
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	index, found := h.find(version)
	if !found {
		return nil, false
	}
	return h.snapshots[index], true
}

// Latest returns the snapshot with the highest version.
func (h *History) Latest() (*Snapshot, bool) {
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	if len(h.snapshots) == 0 {
		return nil, false
	}
	return h.snapshots[len(h.snapshots)-1], true
}

// Len returns how many snapshots are retained.
func (h *History) Len() int {
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	return len(h.snapshots)
}

func (h *History) find(version uint64) (int, bool) {
	index := sort.Search(len(h.snapshots), func(i int) bool { return h.snapshots[i].version >= version })
	return index, index < len(h.snapshots) && h.snapshots[index].version == version
}

func (h *History) dropLowest() {
	copy(h.snapshots, h.snapshots[1:])
	h.snapshots[len(h.snapshots)-1] = nil
	h.snapshots = h.snapshots[:len(h.snapshots)-1]
}
