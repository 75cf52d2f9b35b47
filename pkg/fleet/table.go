package fleet

import (
	"maps"
	"slices"
	"sync/atomic"

	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/workers"
)

// Table holds the newest record of each node. It is safe for concurrent use.
type Table struct {
	self string
	mu   contain.Mutex
	// nodes are ordered by identifier. The records are never changed, and the
	// slice is replaced rather than modified, since views share both.
	nodes []*Node
	// digests holds, for each bucket, the exclusive or of the digests of its records.
	digests [Buckets]uint64
	// commitments are workers to which previous incarnations of nodes have committed to
	// send no new work. A new incarnation starts with a record that does not name them.
	commitments map[string][]workers.Worker
	// restarted are nodes of which a record of a previous incarnation was held.
	restarted map[string]bool
	view      atomic.Pointer[View]
}

// NewTable returns a table that holds the record of the node that owns it.
func NewTable(self Node) *Table {
	table := &Table{
		self:        self.ID,
		commitments: map[string][]workers.Worker{},
		restarted:   map[string]bool{},
	}
	table.put([]*Node{&self})
	table.publish()
	return table
}

// Merged is the result of a merge.
type Merged struct {
	// Updates are the records that were accepted.
	Updates []Node
	// NewIncarnations are the nodes of which a record of a later incarnation than the
	// one held was accepted.
	NewIncarnations []string
	// PreviousSelf is a record of the own node that is newer than the one held, written by a
	// previous incarnation or by another program; it is not accepted.
	PreviousSelf *Node
	// Replaced are the last records of nodes whose address this one has. It has written
	// them, and other nodes must get them.
	Replaced []Node
}

// Merge accepts the records that are newer than those held, unless another writer has given them
// an incarnation that the node could not surpass. The own record is
// written with Update only.
func (t *Table) Merge(nodes []Node) Merged {
	t.mu.Lock()
	defer t.mu.Unlock()
	var merged Merged
	accepted := map[string]*Node{}
	for _, n := range nodes {
		held, known := t.held(n.ID)
		if earlier, again := accepted[n.ID]; again {
			held, known = *earlier, true
		}
		switch {
		case n.ID == "" || !n.IncarnationInRange() || known && !n.NewerThan(held):
		case n.ID == t.self && n.ends(held):
			// Another node has the address of this one. What it says stands.
		case n.ID == t.self:
			previous := n
			merged.PreviousSelf = &previous
		default:
			if known && held.Incarnation != n.Incarnation {
				t.keepCommitments(held, n)
				merged.NewIncarnations = append(merged.NewIncarnations, n.ID)
			}
			accepted[n.ID] = t.lastIfReplaced(n, &merged)
			merged.Updates = append(merged.Updates, *accepted[n.ID])
		}
	}
	if len(accepted) > 0 {
		t.put(slices.SortedFunc(maps.Values(accepted), byID))
		t.publish()
	}
	return merged
}

// lastIfReplaced returns a record to accept: the last one of the node if this one has its address.
// The caller holds mu.
func (t *Table) lastIfReplaced(n Node, merged *Merged) *Node {
	own, _ := t.held(t.self)
	if n.State == StateLeft || !own.hasAddressOf(n) {
		return &n
	}
	last := n.asReplaced()
	merged.Replaced = append(merged.Replaced, *last)
	return last
}

// maximumCommitments bounds the commitments kept of the previous incarnations of one node.
const maximumCommitments = 32

// keepCommitments saves the drain commitments of an incarnation of a node when the next
// one replaces its record. The caller holds mu.
func (t *Table) keepCommitments(previous, next Node) {
	t.restarted[next.ID] = true
	kept := t.commitments[next.ID]
	for _, worker := range previous.Workers {
		if worker.State.DrainCommitted() {
			kept = append(kept, worker)
		}
	}
	if surplus := len(kept) - maximumCommitments; surplus > 0 {
		kept = slices.Clone(kept[surplus:])
	}
	if len(kept) > 0 {
		t.commitments[next.ID] = kept
	}
}

// DrainCommitted returns the workers to which a node, in this incarnation or a previous
// one, has committed to send no more work.
func (t *Table) DrainCommitted(id string) []workers.Worker {
	t.mu.Lock()
	defer t.mu.Unlock()
	committed := slices.Clone(t.commitments[id])
	held, _ := t.held(id)
	for _, worker := range held.Workers {
		if worker.State.DrainCommitted() {
			committed = append(committed, worker)
		}
	}
	return committed
}

// KnowsPrevious reports whether a record of an incarnation of the node previous to the
// given one is held, or was held.
func (t *Table) KnowsPrevious(id string, incarnation uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	held, known := t.held(id)
	return t.restarted[id] || known && held.Incarnation != incarnation
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

// SupersedePrevious gives the own record a higher incarnation than the previous one had, if there
// is one.
func (t *Table) SupersedePrevious(previous Node) {
	if !previous.IncarnationInRange() {
		return
	}
	t.Update(func(own *Node) {
		if own.Incarnation <= previous.Incarnation {
			own.Incarnation = previous.Incarnation + 1
		}
	})
}

// Remove deletes a node until a record of it arrives again.
func (t *Table) Remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if id == t.self {
		return
	}
	if i, known := t.find(id); known {
		t.toggleDigest(t.nodes[i])
		t.nodes = slices.Delete(slices.Clone(t.nodes), i, i+1)
	}
	delete(t.commitments, id)
	delete(t.restarted, id)
	t.publish()
}

// View returns the current records.
func (t *Table) View() *View { return t.view.Load() }

// find returns the index of a node's record. The caller holds the mutex.
func (t *Table) find(id string) (int, bool) { return findNode(t.nodes, id) }

// held returns the record held of a node. The caller holds the mutex.
func (t *Table) held(id string) (Node, bool) {
	i, known := t.find(id)
	if !known {
		return Node{}, false
	}
	return *t.nodes[i], true
}

// put inserts or replaces records, given in the order of their identifiers. The caller
// holds the mutex, or the table is new; views keep the previous slice.
func (t *Table) put(updates []*Node) {
	previous := t.nodes
	t.nodes = make([]*Node, 0, len(previous)+len(updates))
	for _, n := range updates {
		i, known := findNode(previous, n.ID)
		t.nodes = append(append(t.nodes, previous[:i]...), n)
		t.toggleDigest(n)
		previous = previous[i:]
		if known {
			t.toggleDigest(previous[0])
			previous = previous[1:]
		}
	}
	t.nodes = append(t.nodes, previous...)
}

// toggleDigest adds a record to the digest of its bucket, or removes it.
func (t *Table) toggleDigest(n *Node) { t.digests[bucketOf(n.ID)] ^= digestOf(n) }

// publish makes the records visible in View. The caller holds the mutex, or the table is new.
func (t *Table) publish() {
	t.view.Store(&View{self: t.self, nodes: t.nodes, digests: t.digests})
}
