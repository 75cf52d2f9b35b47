package membership

import (
	"cmp"
	"slices"

	"github.com/levertide/levertide/pkg/rollout"
)

// entry is one record and the sequence number of its last change in the table.
type entry struct {
	record   *Record
	sequence uint64
}

// Table holds the newest known record of each node. It is not safe for
// concurrent use; the View that it returns is.
type Table struct {
	// entries is sorted by node identifier.
	entries  []entry
	sequence uint64
	sum      rollout.MemberSum
	liveSum  rollout.MemberSum
	view     *View
	interner *Interner
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{} }

// NewTableWithInterner returns an empty table that shares equal records with
// the other tables of the same interner. It saves memory where one process
// holds the tables of many nodes.
func NewTableWithInterner(interner *Interner) *Table {
	return &Table{interner: interner}
}

// Merge accepts each record that is new or supersedes the one held of the same node,
// and returns the accepted ones. The order of merging does not change the result.
func (t *Table) Merge(records ...Record) []Record {
	var changed []Record
	for index := range records {
		if t.mergeOne(&records[index]) {
			changed = append(changed, records[index])
		}
	}
	return changed
}

func (t *Table) mergeOne(record *Record) bool {
	index, found := t.find(record.ID)
	if !found {
		t.entries = slices.Insert(t.entries, index, entry{})
		t.set(index, record)
		return true
	}
	held := t.entries[index].record
	if !record.Supersedes(*held) {
		return false
	}
	t.removeFromSums(held)
	t.set(index, record)
	return true
}

// set stores a record at the index and adds it to the sums.
func (t *Table) set(index int, record *Record) {
	t.sequence++
	t.entries[index] = entry{record: t.share(record), sequence: t.sequence}
	if record.State != StateLost {
		t.sum = t.sum.Plus(record.sum())
	}
	if record.State == StateLive {
		t.liveSum = t.liveSum.Plus(record.memberSum())
	}
	t.view = nil
}

func (t *Table) removeFromSums(record *Record) {
	if record.State != StateLost {
		t.sum = t.sum.Minus(record.sum())
	}
	if record.State == StateLive {
		t.liveSum = t.liveSum.Minus(record.memberSum())
	}
}

func (t *Table) share(record *Record) *Record {
	if t.interner != nil {
		return t.interner.intern(*record)
	}
	own := *record
	return &own
}

func (t *Table) find(id string) (int, bool) {
	return slices.BinarySearchFunc(t.entries, id, func(e entry, id string) int {
		return cmp.Compare(e.record.ID, id)
	})
}

// Get returns the record of a node, whatever its state.
func (t *Table) Get(id string) (Record, bool) {
	index, found := t.find(id)
	if !found {
		return Record{}, false
	}
	return *t.entries[index].record, true
}

// Len returns how many records are held, lost and leaving nodes included.
func (t *Table) Len() int { return len(t.entries) }

// Since returns the records that changed after the given sequence number of the
// table, in the order of their changes, and the sequence number for the next call.
// Since(0) returns all records.
func (t *Table) Since(sequence uint64) ([]Record, uint64) {
	if sequence >= t.sequence {
		return nil, t.sequence
	}
	var newer []entry
	for _, candidate := range t.entries {
		if candidate.sequence > sequence {
			newer = append(newer, candidate)
		}
	}
	slices.SortFunc(newer, func(a, b entry) int { return cmp.Compare(a.sequence, b.sequence) })
	records := make([]Record, len(newer))
	for index, changed := range newer {
		records[index] = *changed.record
	}
	return records, t.sequence
}

// Sequence returns the sequence number of the newest change.
func (t *Table) Sequence() uint64 { return t.sequence }

// Sum returns the sum of all records that are not lost, states and attachments
// included. Tables with equal sums know the same live and leaving nodes; that
// one of them has purged the record of a lost node makes no difference.
func (t *Table) Sum() rollout.MemberSum { return t.sum }

// LiveSum returns the sum of the live members, comparable with the sums of a
// rollout.Readiness.
func (t *Table) LiveSum() rollout.MemberSum { return t.liveSum }

// PurgeLost removes the records of lost nodes whose last change has the given
// sequence number or a lower one, and returns how many it removed. To keep
// tombstones for a time, a caller saves Sequence and passes it to PurgeLost
// once that time has elapsed.
func (t *Table) PurgeLost(before uint64) int {
	held := len(t.entries)
	t.entries = slices.DeleteFunc(t.entries, func(candidate entry) bool {
		purge := candidate.record.State == StateLost && candidate.sequence <= before
		if purge {
			t.removeFromSums(candidate.record)
		}
		return purge
	})
	removed := held - len(t.entries)
	if removed > 0 {
		t.view = nil
	}
	return removed
}

// View returns the current members. It is built once after each change.
func (t *Table) View() *View {
	if t.view == nil {
		t.view = newView(t.entries)
	}
	return t.view
}
