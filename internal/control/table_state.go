package control

import (
	"time"

	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/rollout"
)

// Pauses before changed members are sent to children, and the minimum time
// between two such updates. Where members change all the time, changes are
// batched; those of leaving nodes are sent sooner.
const (
	memberChangePause     = 150 * time.Millisecond
	memberChangeInterval  = 2 * time.Second
	memberUrgentInterval  = 500 * time.Millisecond
	memberUrgentPause     = 50 * time.Millisecond
	lostRecordRetention   = 10 * time.Minute
	lostRecordPurgePeriod = 30 * time.Second
)

// tableState is the table of members together with the state of its publication
// to children.
type tableState struct {
	*membership.Table
	interner *membership.Interner
	// epoch distinguishes the sequences of one table from those of its successor.
	epoch uint64
	// published is the place in the sequence up to which children are woken.
	published uint64
	// flushAt is when published is next advanced; zero when no change is pending.
	flushAt   time.Time
	lastFlush time.Time
	scoped    map[directoryScope]*scopedDirectory
	// marks record the sequence at past times, for purging records of lost nodes.
	marks []sequenceMark
	// pastZones are the zones of records that were dropped.
	pastZones map[zoneKey]struct{}
}

type sequenceMark struct {
	sequence uint64
	at       time.Time
}

func newTableState(interner *membership.Interner, self membership.Record) *tableState {
	state := &tableState{
		Table:    membership.NewTableWithInterner(interner),
		interner: interner,
		epoch:    self.Incarnation,
		scoped:   make(map[directoryScope]*scopedDirectory),

		pastZones: make(map[zoneKey]struct{}),
	}
	state.Merge(self)
	return state
}

// changed schedules the publication of changed records to children.
func (t *tableState) changed(records []membership.Record, at time.Time) {
	due := later(at.Add(memberChangePause), t.lastFlush.Add(memberChangeInterval))
	if anyUrgent(records) {
		due = later(at.Add(memberUrgentPause), t.lastFlush.Add(memberUrgentInterval))
	}
	if t.flushAt.IsZero() || due.Before(t.flushAt) {
		t.flushAt = due
	}
}

// flush advances published when that is due, and reports whether it did.
func (t *tableState) flush(at time.Time) bool {
	if t.flushAt.IsZero() || at.Before(t.flushAt) {
		return false
	}
	t.flushAt = time.Time{}
	t.lastFlush = at
	t.published = t.Sequence()
	return true
}

// replace drops every record that is not in keep. Sequences start again.
func (t *tableState) replace(keep []membership.Record) {
	t.rememberZones()
	t.Table = membership.NewTableWithInterner(t.interner)
	t.Merge(keep...)
	t.epoch++
	t.published = t.Sequence()
	t.flushAt = time.Time{}
	t.scoped = make(map[directoryScope]*scopedDirectory)
	t.marks = nil
}

// purge removes the records of nodes that were lost at least lostRecordRetention ago.
func (t *tableState) purge(at time.Time) {
	if len(t.marks) > 0 && at.Sub(t.marks[len(t.marks)-1].at) < lostRecordPurgePeriod {
		return
	}
	t.marks = append(t.marks, sequenceMark{sequence: t.Sequence(), at: at})
	if at.Sub(t.marks[0].at) < lostRecordRetention {
		return
	}
	oldest := t.marks[0]
	t.marks = t.marks[1:]
	t.rememberZones()
	if t.PurgeLost(oldest.sequence) == 0 {
		return
	}
	for _, directory := range t.scoped {
		directory.purge(t.Table)
	}
}

// presentSum returns the sum over the records of all nodes that are not lost.
func (t *tableState) presentSum(within func(*membership.Record) bool) rollout.MemberSum {
	var sum rollout.MemberSum
	for record := range t.View().All() {
		if record.State != membership.StateLost && (within == nil || within(record)) {
			sum = sum.Plus(recordSum(record))
		}
	}
	return sum
}

// records lists all records, including those of lost nodes.
func (t *tableState) records() []membership.Record {
	records, _ := t.Since(0)
	return records
}

// recordSum returns a sum that distinguishes a record from every other record of
// the same node.
func recordSum(record *membership.Record) rollout.MemberSum {
	change := record.Attachment<<8 | uint64(record.State)
	member := rollout.SumOf(record.ID, record.Incarnation)
	return rollout.MemberSum{Count: 1, Hash: member.Hash ^ change*recordMultiplier}
}

const recordMultiplier = 0x9e3779b97f4a7c15

func anyUrgent(records []membership.Record) bool {
	for _, record := range records {
		if record.State == membership.StateLeaving {
			return true
		}
	}
	return false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
