package control

import (
	"cmp"
	"slices"

	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/snapshot"
	"github.com/levertide/levertide/pkg/topology"
)

// directoryScope determines which members a leaf receives: its own zone, the
// first members of every other zone, readers, and the workers that its service
// calls.
type directoryScope struct {
	region, zone, service string
}

// zoneLeaders is how many members of each zone every leaf receives.
const zoneLeaders = 3

// scopedDirectory is the part of a table that one directoryScope covers, with a
// sequence of its own. A record that has entered it stays until it is purged, so
// that its loss is sent to children too.
type scopedDirectory struct {
	scope    directoryScope
	entries  map[string]scopedEntry
	sequence uint64
	// published is the place in the sequence up to which children are woken.
	published uint64
	// tableSequence is the sequence of the table that entries reflect.
	tableSequence uint64
	// services are the services whose workers are in scope; allServices means
	// every service.
	services    map[string]struct{}
	allServices bool
	// servicesFrom is the snapshot that services were derived from.
	servicesFrom *snapshot.Snapshot
}

type scopedEntry struct {
	record   membership.Record
	sequence uint64
}

func newScopedDirectory(scope directoryScope) *scopedDirectory {
	directory := &scopedDirectory{scope: scope, entries: make(map[string]scopedEntry)}
	directory.setServices(nil)
	return directory
}

// update applies the changes of the table and of the snapshot.
func (d *scopedDirectory) update(table *tableState, latest *snapshot.Snapshot, leaders map[string]struct{}) {
	if latest != d.servicesFrom {
		d.setServices(latest)
		d.tableSequence = 0
	}
	if d.tableSequence == table.Sequence() && d.tableSequence != 0 {
		return
	}
	for record := range table.View().All() {
		d.put(record, leaders)
	}
	d.tableSequence = table.Sequence()
}

// put adds or updates a record.
func (d *scopedDirectory) put(record *membership.Record, leaders map[string]struct{}) {
	held, found := d.entries[record.ID]
	if found && held.record == *record {
		return
	}
	if !found && (record.State == membership.StateLost || !d.covers(record, leaders)) {
		return
	}
	d.sequence++
	d.entries[record.ID] = scopedEntry{record: *record, sequence: d.sequence}
}

func (d *scopedDirectory) covers(record *membership.Record, leaders map[string]struct{}) bool {
	if record.Zone == d.scope.zone && record.Region == d.scope.region {
		return true
	}
	if record.Reader {
		return true
	}
	if record.Service != "" {
		if _, called := d.services[record.Service]; called || d.allServices {
			return true
		}
	}
	_, leads := leaders[record.ID]
	return leads
}

// setServices determines the services in scope: the leaf's own and those it calls.
func (d *scopedDirectory) setServices(latest *snapshot.Snapshot) {
	d.servicesFrom = latest
	d.services = map[string]struct{}{d.scope.service: {}}
	d.allServices = false
	if latest == nil {
		return
	}
	own, found := latest.Service(d.scope.service)
	if !found {
		return
	}
	d.allServices = own.Calls == nil
	for _, callee := range own.Calls {
		d.services[callee] = struct{}{}
	}
}

// since lists the records that changed after a position in the directory's own
// sequence. Position zero lists all records.
func (d *scopedDirectory) since(sequence uint64) []membership.Record {
	if sequence >= d.sequence {
		return nil
	}
	var newer []scopedEntry
	for _, entry := range d.entries {
		if entry.sequence > sequence {
			newer = append(newer, entry)
		}
	}
	slices.SortFunc(newer, func(a, b scopedEntry) int { return cmp.Compare(a.sequence, b.sequence) })
	records := make([]membership.Record, len(newer))
	for index, entry := range newer {
		records[index] = entry.record
	}
	return records
}

func (d *scopedDirectory) presentSum() rollout.MemberSum {
	var sum rollout.MemberSum
	for _, entry := range d.entries {
		if entry.record.State != membership.StateLost {
			sum = sum.Plus(recordSum(&entry.record))
		}
	}
	return sum
}

// purge removes lost nodes that the table no longer holds.
func (d *scopedDirectory) purge(table *membership.Table) {
	for id, entry := range d.entries {
		if entry.record.State != membership.StateLost {
			continue
		}
		if _, found := table.Get(id); !found {
			delete(d.entries, id)
		}
	}
}

// leadersOf returns the first live members of each zone in the order of their keys.
func leadersOf(view *membership.View) map[string]struct{} {
	type zone struct{ region, name string }
	firsts := make(map[zone][]topology.Key)
	names := make(map[topology.Key]string)
	for _, record := range view.Live() {
		key := topology.KeyOf(peerOf(record))
		place := zone{record.Region, record.Zone}
		firsts[place] = insertLeader(firsts[place], key, names, record.ID)
	}
	leaders := make(map[string]struct{}, len(firsts)*zoneLeaders)
	for _, keys := range firsts {
		for _, key := range keys {
			leaders[names[key]] = struct{}{}
		}
	}
	return leaders
}

// insertLeader inserts a key and keeps the lowest zoneLeaders keys, in order.
func insertLeader(keys []topology.Key, key topology.Key, names map[topology.Key]string, id string) []topology.Key {
	if len(keys) == zoneLeaders && keys[zoneLeaders-1].Compare(key) < 0 {
		return keys
	}
	names[key] = id
	keys = append(keys, key)
	slices.SortFunc(keys, topology.Key.Compare)
	return keys[:min(len(keys), zoneLeaders)]
}
