package fleet

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/levertide/levertide/pkg/workers"
)

// Table holds the newest record of each node. It is safe for concurrent use.
type Table struct {
	self string
	mu   sync.Mutex
	// nodes are ordered by identifier. The records are never changed, and the
	// slice is replaced whole, since views share both.
	nodes []*Node
	// digests holds, for each bucket, the digests of its records by exclusive or.
	digests [Buckets]uint64
	// promises are workers that former lives of nodes have promised to leave
	// alone. A new life starts with a record that does not name them.
	promises map[string][]workers.Worker
	// outlived are nodes of which a record of a former life was held.
	outlived map[string]bool
	view     atomic.Pointer[View]
}

// NewTable returns a table that holds the record of the node that keeps it.
func NewTable(self Node) *Table {
	table := &Table{
		self:     self.ID,
		promises: map[string][]workers.Worker{},
		outlived: map[string]bool{},
	}
	table.put([]*Node{&self})
	table.publish()
	return table
}

// Merged tells what a merge did.
type Merged struct {
	// Updates are the records that were taken.
	Updates []Node
	// NewIncarnations are the nodes of which a record of a later life than the one held
	// was taken.
	NewIncarnations []string
	// PreviousSelf is a record of the own node that is newer than the one held, as
	// a former life has left it; it is not taken.
	PreviousSelf *Node
}

// Merge takes the records that are newer than those held. The own record is
// written with Update only.
func (t *Table) Merge(nodes []Node) Merged {
	t.mu.Lock()
	defer t.mu.Unlock()
	var merged Merged
	taken := map[string]*Node{}
	for _, n := range nodes {
		held, known := t.held(n.ID)
		if earlier, again := taken[n.ID]; again {
			held, known = *earlier, true
		}
		switch {
		case n.ID == "" || known && !n.NewerThan(held):
		case n.ID == t.self:
			former := n
			merged.PreviousSelf = &former
		default:
			if known && held.Incarnation != n.Incarnation {
				t.keepPromises(held, n)
				merged.NewIncarnations = append(merged.NewIncarnations, n.ID)
			}
			taken[n.ID] = &n
			merged.Updates = append(merged.Updates, n)
		}
	}
	if len(taken) > 0 {
		t.put(slices.SortedFunc(maps.Values(taken), byID))
		t.publish()
	}
	return merged
}

// maximumPromises bounds what is kept of the former lives of one node.
const maximumPromises = 32

// keepPromises remembers what a life of a node has promised when the next one
// replaces its record. The mu is held.
func (t *Table) keepPromises(former, next Node) {
	t.outlived[next.ID] = true
	kept := t.promises[next.ID]
	for _, worker := range former.Workers {
		if worker.State.DrainCommitted() {
			kept = append(kept, worker)
		}
	}
	if surplus := len(kept) - maximumPromises; surplus > 0 {
		kept = slices.Clone(kept[surplus:])
	}
	if len(kept) > 0 {
		t.promises[next.ID] = kept
	}
}

// DrainCommitted returns the workers that a node, in this life or a former one, has
// promised to give no more work.
func (t *Table) DrainCommitted(id string) []workers.Worker {
	t.mu.Lock()
	defer t.mu.Unlock()
	promised := slices.Clone(t.promises[id])
	held, _ := t.held(id)
	for _, worker := range held.Workers {
		if worker.State.DrainCommitted() {
			promised = append(promised, worker)
		}
	}
	return promised
}

// KnowsPrevious reports whether a record of a life of the node before the given
// incarnation is held, or was.
func (t *Table) KnowsPrevious(id string, incarnation uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	held, known := t.held(id)
	return t.outlived[id] || known && held.Incarnation != incarnation
}

// Update writes the own record with the next sequence and returns it.
func (t *Table) Update(change func(*Node)) Node {
	t.mu.Lock()
	defer t.mu.Unlock()
	own, _ := t.held(t.self)
	own.Workers = slices.Clone(own.Workers)
	change(&own)
	own.Sequence++
	t.put([]*Node{&own})
	t.publish()
	return own
}

// SupersedePrevious gives the own record a higher incarnation than a former life had.
func (t *Table) SupersedePrevious(former Node) {
	t.Update(func(own *Node) {
		if own.Incarnation <= former.Incarnation {
			own.Incarnation = former.Incarnation + 1
		}
	})
}

// Remove forgets a node, until a record of it comes again.
func (t *Table) Remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if id == t.self {
		return
	}
	if i, known := t.find(id); known {
		t.count(t.nodes[i])
		t.nodes = slices.Delete(slices.Clone(t.nodes), i, i+1)
	}
	delete(t.promises, id)
	delete(t.outlived, id)
	t.publish()
}

// View returns the records held now.
func (t *Table) View() *View { return t.view.Load() }

// find returns the place of a node's record. The mutex is held.
func (t *Table) find(id string) (int, bool) { return findNode(t.nodes, id) }

// held returns the record held of a node. The mutex is held.
func (t *Table) held(id string) (Node, bool) {
	i, known := t.find(id)
	if !known {
		return Node{}, false
	}
	return *t.nodes[i], true
}

// put takes records, ordered by identifier, in place of those held. The mutex is
// held, or the table is new; views keep the former slice.
func (t *Table) put(news []*Node) {
	former := t.nodes
	t.nodes = make([]*Node, 0, len(former)+len(news))
	for _, n := range news {
		i, known := findNode(former, n.ID)
		t.nodes = append(append(t.nodes, former[:i]...), n)
		t.count(n)
		former = former[i:]
		if known {
			t.count(former[0])
			former = former[1:]
		}
	}
	t.nodes = append(t.nodes, former...)
}

// count takes a record into the digest of its bucket, or out of it.
func (t *Table) count(n *Node) { t.digests[bucketOf(n.ID)] ^= digestOf(n) }

// publish makes the records visible. The mutex is held, or the table is new.
func (t *Table) publish() {
	t.view.Store(&View{self: t.self, nodes: t.nodes, digests: t.digests})
}
