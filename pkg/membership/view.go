package membership

import (
	"cmp"
	"iter"
	"slices"
	"sync"
)

// View is the immutable state of a Table at one moment. It is safe for
// concurrent use. The slices that it returns are shared: callers do not change
// them, nor the records that they point to.
type View struct {
	// all is sorted by identifier.
	all  []*Record
	live []*Record
	lost int
	// byZone returns the live members sorted by zone and identifier, byService
	// by service and identifier; each list is built at its first use.
	byZone    func() []*Record
	byService func() []*Record
}

func newView(entries []entry) *View {
	view := &View{
		all:  make([]*Record, len(entries)),
		live: make([]*Record, 0, len(entries)),
	}
	for index, held := range entries {
		view.all[index] = held.record
		switch held.record.State {
		case StateLive:
			view.live = append(view.live, held.record)
		case StateLost:
			view.lost++
		case StateLeaving:
		}
	}
	view.byZone = sync.OnceValue(func() []*Record { return sortedBy(view.live, zoneOf) })
	view.byService = sync.OnceValue(func() []*Record { return sortedBy(view.live, serviceOf) })
	return view
}

func zoneOf(record *Record) string    { return record.Zone }
func serviceOf(record *Record) string { return record.Service }
func idOf(record *Record) string      { return record.ID }

// sortedBy returns a copy ordered by the given field; records of equal fields
// keep the order of their identifiers.
func sortedBy(records []*Record, field func(*Record) string) []*Record {
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, func(a, b *Record) int { return cmp.Compare(field(a), field(b)) })
	return sorted
}

// section returns the records whose field has the given value, which are
// contiguous in a list sorted by that field.
func section(sorted []*Record, field func(*Record) string, value string) []*Record {
	compare := func(record *Record, value string) int { return cmp.Compare(field(record), value) }
	start, found := slices.BinarySearchFunc(sorted, value, compare)
	if !found {
		return nil
	}
	end := start
	for end < len(sorted) && field(sorted[end]) == value {
		end++
	}
	return sorted[start:end:end]
}

// Live returns the live members sorted by identifier; leaving and lost ones
// are left out.
func (v *View) Live() []*Record { return v.live }

// ByZone returns the live members of a zone sorted by identifier.
func (v *View) ByZone(zone string) []*Record { return section(v.byZone(), zoneOf, zone) }

// ByService returns the live members whose worker serves a service,
// sorted by identifier.
func (v *View) ByService(service string) []*Record {
	return section(v.byService(), serviceOf, service)
}

// All yields every record sorted by identifier, whatever its state.
func (v *View) All() iter.Seq[*Record] { return slices.Values(v.all) }

// Get returns the record of a node, whatever its state.
func (v *View) Get(id string) (Record, bool) {
	compare := func(record *Record, id string) int { return cmp.Compare(idOf(record), id) }
	index, found := slices.BinarySearchFunc(v.all, id, compare)
	if !found {
		return Record{}, false
	}
	return *v.all[index], true
}

// Len returns how many members are live.
func (v *View) Len() int { return len(v.live) }

// Lost returns how many records are of lost nodes.
func (v *View) Lost() int { return v.lost }

// Leaving returns how many records are of leaving nodes.
func (v *View) Leaving() int { return len(v.all) - len(v.live) - v.lost }
