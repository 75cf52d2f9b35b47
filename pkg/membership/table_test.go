package membership_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/rollout"
	"pgregory.net/rapid"
)

var drawRecord = rapid.Custom(func(t *rapid.T) membership.Record {
	return membership.Record{
		ID:          rapid.StringMatching("[a-e]").Draw(t, "id"),
		Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
		Attachment:  rapid.Uint64Range(0, 2).Draw(t, "attachment"),
		State:       membership.State(rapid.IntRange(0, 2).Draw(t, "state")),
		Zone:        "west",
		Service:     "ledger",
	}
})

func tableOf(records ...membership.Record) *membership.Table {
	table := membership.NewTable()
	table.Merge(records...)
	return table
}

func contents(table *membership.Table) []membership.Record {
	var records []membership.Record
	for record := range table.View().All() {
		records = append(records, *record)
	}
	return records
}

func requireSums(t *rapid.T, table *membership.Table) {
	var live rollout.MemberSum
	for _, record := range table.View().Live() {
		live = live.Plus(rollout.SumOf(record.ID, record.Incarnation))
	}
	if table.LiveSum() != live {
		t.Fatalf("live sum %+v, want %+v", table.LiveSum(), live)
	}
}

func TestMergeIsOrderFreeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(drawRecord, 0, 20).Draw(t, "records")
		shuffled := rapid.Permutation(records).Draw(t, "shuffled")
		a, b := tableOf(records...), tableOf(shuffled...)
		if !slices.Equal(contents(a), contents(b)) || a.Sum() != b.Sum() {
			t.Fatalf("%+v\n%+v", contents(a), contents(b))
		}
		if changed := a.Merge(shuffled...); changed != nil {
			t.Fatalf("merged again: %+v", changed)
		}
		requireSums(t, a)
	})
}

func TestSinceCarriesEveryChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, copied := membership.NewTable(), membership.NewTable()
		var sequence uint64
		for range rapid.IntRange(1, 8).Draw(t, "rounds") {
			source.Merge(rapid.SliceOfN(drawRecord, 0, 5).Draw(t, "records")...)
			var changed []membership.Record
			changed, sequence = source.Since(sequence)
			copied.Merge(changed...)
			if source.Sum() != copied.Sum() || !slices.Equal(contents(source), contents(copied)) {
				t.Fatal("the copy differs")
			}
		}
	})
}

func TestPurgeRemovesOldTombstonesOnly(t *testing.T) {
	lost := membership.Record{ID: "a", Incarnation: 1, State: membership.StateLost}
	table := tableOf(lost, membership.Record{ID: "b", Incarnation: 1, State: membership.StateLeaving})
	sequence, sum := table.Sequence(), table.Sum()
	later := membership.Record{ID: "c", Incarnation: 1, State: membership.StateLost}
	table.Merge(later)
	if removed := table.PurgeLost(sequence); removed != 1 || table.Len() != 2 {
		t.Fatalf("removed %d, %d left", removed, table.Len())
	}
	if _, found := table.Get("a"); found || table.Sum() != sum || table.View().Lost() != 1 {
		t.Fatal("wrong record purged")
	}
}

func TestViewIndexesLiveMembers(t *testing.T) {
	table := membership.NewTable()
	for index := range 6 {
		table.Merge(membership.Record{
			ID: fmt.Sprint("node-", index), Incarnation: 1,
			Zone:    fmt.Sprint("zone-", index%2),
			Service: fmt.Sprint("service-", index%3),
		})
	}
	leaving, _ := table.Get("node-2")
	table.Merge(leaving.With(membership.StateLeaving))
	view := table.View()
	ids := func(records []*membership.Record) (names []string) {
		for _, record := range records {
			names = append(names, record.ID)
		}
		return names
	}
	if got := ids(view.ByZone("zone-0")); !slices.Equal(got, []string{"node-0", "node-4"}) {
		t.Errorf("zone-0: %v", got)
	}
	if got := ids(view.ByService("service-2")); !slices.Equal(got, []string{"node-5"}) {
		t.Errorf("service-2: %v", got)
	}
	if view.Leaving() != 1 || view.Len() != 5 || view.ByService("none") != nil {
		t.Errorf("leaving %d, live %d", view.Leaving(), view.Len())
	}
	if table.View() != view {
		t.Error("view built twice")
	}
}

func TestPausedProcessLearnsThatItWasReplaced(t *testing.T) {
	own := membership.Record{ID: "a", Incarnation: 1, Attachment: 5}
	if _, verdict := own.Answer(membership.Record{ID: "a", Incarnation: 2}); verdict != membership.VerdictReplaced {
		t.Fatalf("verdict %d", verdict)
	}
	if _, verdict := own.Answer(own); verdict != membership.VerdictNone {
		t.Fatalf("verdict %d about its own record", verdict)
	}
}

func TestTablesOfOneInternerShareRecords(t *testing.T) {
	interner := membership.NewInterner()
	record := membership.Record{ID: "a", Incarnation: 1}
	a, b := membership.NewTableWithInterner(interner), membership.NewTableWithInterner(interner)
	a.Merge(record)
	b.Merge(record)
	if a.View().Live()[0] != b.View().Live()[0] {
		t.Fatal("equal records are not shared between the tables")
	}
}

func manyRecords() []membership.Record {
	records := make([]membership.Record, 1900)
	for index := range records {
		records[index] = membership.Record{
			ID: fmt.Sprintf("node-%04d", index), Incarnation: 1,
			Zone: fmt.Sprint("zone-", index%22), Service: fmt.Sprint("service-", index%12),
		}
	}
	return records
}

func BenchmarkMergeOneChangeAndView(b *testing.B) {
	b.ReportAllocs()
	records := manyRecords()
	table := tableOf(records...)
	record := records[700]
	for b.Loop() {
		record = record.Attach()
		table.Merge(record)
		table.View().ByService("service-3")
	}
}

func BenchmarkMergeKnown(b *testing.B) {
	b.ReportAllocs()
	records := manyRecords()
	table := tableOf(records...)
	for b.Loop() {
		table.Merge(records...)
	}
}
