package fleet

import (
	"encoding/binary"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/levertide/levertide/pkg/workers"
)

// Table holds the newest record of each node. It is safe for concurrent use.
type Table struct {
	self  string
	mutex sync.Mutex
	nodes map[string]Node
	// promises are workers that former lives of nodes have promised to leave
	// alone. A new life starts with a record that does not name them.
	promises map[string][]workers.Worker
	view     atomic.Pointer[View]
}

// NewTable returns a table that holds the record of the node that keeps it.
func NewTable(self Node) *Table {
	table := &Table{
		self:     self.ID,
		nodes:    map[string]Node{self.ID: self},
		promises: map[string][]workers.Worker{},
	}
	table.publish()
	return table
}

// Merged tells what a merge did.
type Merged struct {
	// News are the records that were taken.
	News []Node
	// FormerSelf is a record of the own node that is newer than the one held, as
	// a former life has left it; it is not taken.
	FormerSelf *Node
}

// Merge takes the records that are newer than those held. The own record is
// written with Update only.
func (t *Table) Merge(nodes []Node) Merged {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var merged Merged
	for _, node := range nodes {
		held, known := t.nodes[node.ID]
		switch {
		case node.ID == "" || known && !node.NewerThan(held):
		case node.ID == t.self:
			former := node
			merged.FormerSelf = &former
		default:
			t.keepPromises(held, node)
			t.nodes[node.ID] = node
			merged.News = append(merged.News, node)
		}
	}
	if len(merged.News) > 0 {
		t.publish()
	}
	return merged
}

// maximumPromises bounds what is kept of the former lives of one node.
const maximumPromises = 32

// keepPromises remembers what a life of a node has promised when the next one
// replaces its record. The mutex is held.
func (t *Table) keepPromises(former, next Node) {
	if former.Incarnation == next.Incarnation {
		return
	}
	kept := t.promises[next.ID]
	for _, worker := range former.Workers {
		if worker.State.Promised() {
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

// Promised returns the workers that a node, in this life or a former one, has
// promised to give no more work.
func (t *Table) Promised(id string) []workers.Worker {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	promised := slices.Clone(t.promises[id])
	for _, worker := range t.nodes[id].Workers {
		if worker.State.Promised() {
			promised = append(promised, worker)
		}
	}
	return promised
}

// Update writes the own record with the next sequence and returns it.
func (t *Table) Update(change func(*Node)) Node {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	own := t.nodes[t.self]
	own.Workers = slices.Clone(own.Workers)
	change(&own)
	own.Sequence++
	t.nodes[t.self] = own
	t.publish()
	return own
}

// Outlive gives the own record a higher incarnation than a former life had.
func (t *Table) Outlive(former Node) {
	t.Update(func(own *Node) {
		if own.Incarnation <= former.Incarnation {
			own.Incarnation = former.Incarnation + 1
		}
	})
}

// Remove forgets a node, until a record of it comes again.
func (t *Table) Remove(id string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if id == t.self {
		return
	}
	delete(t.nodes, id)
	delete(t.promises, id)
	t.publish()
}

// View returns the records held now.
func (t *Table) View() *View { return t.view.Load() }

// publish makes the records visible. The mutex is held, or the table is new.
func (t *Table) publish() {
	nodes := make([]Node, 0, len(t.nodes))
	for _, node := range t.nodes {
		nodes = append(nodes, node)
	}
	slices.SortFunc(nodes, func(a, b Node) int { return strings.Compare(a.ID, b.ID) })
	t.view.Store(&View{self: t.self, nodes: nodes, digest: digestOf(nodes)})
}

// View is an immutable set of records, ordered by identifier.
type View struct {
	self   string
	nodes  []Node
	digest uint64
}

// Nodes returns all records, the own one among them. The caller must not change them.
func (v *View) Nodes() []Node { return v.nodes }

// Digest is equal for equal sets of records.
func (v *View) Digest() uint64 { return v.digest }

// Self returns the own record.
func (v *View) Self() Node {
	own, _ := v.Node(v.self)
	return own
}

// Node returns the record of a node.
func (v *View) Node(id string) (Node, bool) {
	index, found := slices.BinarySearchFunc(v.nodes, id, func(node Node, id string) int { return strings.Compare(node.ID, id) })
	if !found {
		return Node{}, false
	}
	return v.nodes[index], true
}

// Peers returns the records of the other nodes that have not left.
func (v *View) Peers() []Node {
	peers := make([]Node, 0, len(v.nodes))
	for _, node := range v.nodes {
		if node.ID != v.self && node.State != StateLeft {
			peers = append(peers, node)
		}
	}
	return peers
}

func digestOf(nodes []Node) uint64 {
	digest := xxhash.New()
	var number [16]byte
	for _, node := range nodes {
		_, _ = digest.WriteString(node.ID)
		binary.LittleEndian.PutUint64(number[:8], node.Incarnation)
		binary.LittleEndian.PutUint64(number[8:], node.Sequence)
		_, _ = digest.Write(number[:])
	}
	return digest.Sum64()
}
