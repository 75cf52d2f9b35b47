package hosted

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/fleet"
)

const (
	// directorySize is the minimum number of nodes with an entry in the store. Others find the mesh
	// through these entries: when any number of nodes start simultaneously, no more than that are
	// written.
	directorySize = 24
	// zoneEntries is how many nodes of each zone, its first hubs, have an entry in addition to
	// directorySize: all nodes of a zone that starts ask its hub, and the entries that happened to
	// be written first are mostly those of machines that cannot answer so many. With hubs of 0.16
	// of a core for 164 nodes, 153 of 247 nodes got no answer in 250 ms; with the largest machines
	// as hubs, none of 158 was without an answer.
	zoneEntries = 2
	// hubEntryPause is the mean time after a start at which a node knows whether it is one of these
	// first hubs.
	hubEntryPause = 4 * time.Second
	// startSpread is the time over which the nodes of a whole mesh that starts for the first time
	// call the empty store: the number of nodes that have called doubles every startDoubling.
	// However many nodes there are, a few call first and write their entries, which takes three
	// calls of a few milliseconds, and the others find them in a stale list.
	startSpread   = 2 * time.Second
	startDoubling = 150 * time.Millisecond
	// rejoinSpread is the time over which nodes check entries that their previous incarnations have
	// left. These were renewed 60 s before at most, which leaves enough time.
	rejoinSpread = 20 * time.Second
	// entryTTL is the time to live of this node's entry in the store, and renewInterval how often
	// it is renewed, and checked which other nodes have one, and whether they are too few.
	entryTTL      = 2 * time.Minute
	renewInterval = 40 * time.Second
	// recoverySpread is the time over which nodes check their entries when the store has recovered.
	// Entries that expired are restored within two seconds.
	recoverySpread = 500 * time.Millisecond
	// restoreSpreadPerNode, times the nodes known, is the time over which nodes write their entries
	// again when the store was restored from a copy, if that is longer than recoverySpread. Each
	// takes up to three writes: a mesh of 985 nodes, of which 32 had an entry, made 95 writes in
	// 0.7 s (simulated time).
	restoreSpreadPerNode = 2 * time.Millisecond
	// recallPause is how long the nodes that were asked have to answer before the store is read for
	// the previous incarnations of this one.
	recallPause = 100 * time.Millisecond
	// callBound is the timeout of one call to the store.
	callBound = 1500 * time.Millisecond
	// writeTries bounds how often an entry is written again at once because another entry was
	// found, or its lease had ended.
	writeTries = 3
	// firstWritePause and longestWritePause bound the pauses between calls that the store does not
	// answer.
	firstWritePause   = 100 * time.Millisecond
	longestWritePause = 4 * time.Second
)

// Announcer finds the first other nodes in the store, and maintains this node's entry there if too
// few others have one, or if the node has made drain commitments for its workers: when all nodes
// crash at once, only the store still holds the commitments. It is a suture service.
type Announcer struct {
	directory Directory
	table     *fleet.Table
	// firstStart is set when the whole mesh starts for the first time, so that no node has previous
	// incarnations.
	firstStart bool
	// onListed is called with the other nodes that the store lists, and whether it lists this one.
	// It returns when some of them have been asked.
	onListed func(ctx context.Context, nodes []fleet.Node, named bool)
	// onPrevious is called with entries of this node that others have written: those of its
	// previous incarnations.
	onPrevious func(n fleet.Node)
	// commitmentsKnown reports whether the node already knows the commitments of its previous
	// incarnations, and onSettled is called when the store has been read for them.
	commitmentsKnown func() bool
	onSettled        func()
	// sharedEntry returns the entry of this node as read by another node on behalf of many; false
	// when that node has not answered.
	sharedEntry func(ctx context.Context) (Entry, bool)

	// onRewritten is called when the entry was written again after a restore of the store, with the
	// number of drain commitments in it.
	onRewritten func(era uint64, commitments int)
	// onRejected is called with the identifiers of entries that were not written by a node, and why.
	onRejected func(id string, err error)
	// onUnencodable is called when the record of this node cannot be written.
	onUnencodable func(err error)

	panicked contain.Report

	// contacted is closed when the nodes that were last asked have answered or timed out. Only the
	// announcer's own goroutine uses it.
	contacted <-chan struct{}
	// renewalDue is when the entry is to be renewed next, whatever else the announcer does until then.
	// Only the announcer's own goroutine uses it.
	renewalDue time.Time
	// writeTurn is held while the entry is written, so that a newer write never overtakes an older
	// one.
	writeTurn chan struct{}
	// writeDue is signalled when the entry is to be written, checkDue when the store answers again
	// after an outage or was restored.
	writeDue chan struct{}
	checkDue chan struct{}
	// searchDue is signalled when the directory may list nodes that cannot be reached where this node
	// knows them.
	searchDue chan struct{}
	// isLost reports whether a node is taken to be lost, and isAlone whether no other node is reached.
	isLost  func(id string) bool
	isAlone func() bool
	// unreached is set if the directory had entries under the names of nodes that were not reached when
	// it was read last.
	unreached atomic.Bool

	// seenEra returns the highest era that the store has reported to this node.
	seenEra func() Era

	mu contain.Mutex
	// lease is the lease of the entry; empty while this incarnation has none.
	lease    Lease
	revision uint64
	// unleased is set while the entry is bound to no lease, since it has drain commitments: they have
	// to outlast an outage of the store in which leases run out.
	unleased bool
	// era is the one in which the lease was granted, or found alive. Leases and revisions of an
	// earlier era are invalid, or may belong to another node.
	era uint64
	// restoring is set when the entry is to be written again after a restore of the store.
	restoring bool
	// restoredEra is the highest era that was reported to StoreRestored.
	restoredEra uint64
}

func newAnnouncer(directory Directory, table *fleet.Table, seen func() Era) *Announcer {
	return &Announcer{
		directory: directory,
		table:     table,
		seenEra:   seen,
		writeTurn: make(chan struct{}, 1),
		writeDue:  make(chan struct{}, 1),
		checkDue:  make(chan struct{}, 1),
		searchDue: make(chan struct{}, 1),
	}
}

// String returns the name of the service in events.
func (a *Announcer) String() string { return "announcer" }

// Serve finds the other nodes, and maintains the entry until the context ends.
func (a *Announcer) Serve(ctx context.Context) error {
	if a.firstStart {
		sleep(ctx, firstStartDelay(1-rand.Float64()))
	}
	a.retryUntilDone(ctx, a.join)
	a.settle(ctx)
	a.renewalDue = nextRenewal(time.Now())
	time.AfterFunc(jittered(hubEntryPause), func() { contain.Run(contain.Task, a.String(), a.panicked, a.enterHub) })
	for ctx.Err() == nil {
		a.wait(ctx)
	}
	return ctx.Err()
}

// enterHub has the entry written if this node is one of the first hubs of its zone and has no
// entry.
func (a *Announcer) enterHub() {
	if lease, _ := a.held(); lease != "" {
		return
	}
	view := a.table.View()
	self := view.Self()
	hubs := fleet.Hubs(inZone(view.Nodes(), self.Zone))
	if slices.ContainsFunc(hubs[:min(zoneEntries, len(hubs))], func(n *fleet.Node) bool { return n.ID == self.ID }) {
		a.writeSoon()
	}
}

// firstStartDelay returns how long after the first start of a mesh a node calls the store, for a
// random number drawn from (0, 1].
func firstStartDelay(drawn float64) time.Duration {
	early := time.Duration(-math.Log2(drawn) * float64(startDoubling))
	return max(startSpread-early, 0)
}

// settle learns the drain commitments of previous incarnations. Neither the nodes that were asked
// nor the store is enough alone: the nodes may all have started just now, and the store may not
// have been reached when the commitment was made.
func (a *Announcer) settle(ctx context.Context) {
	waitAtMost(ctx, a.contacted, recallPause)
	a.retryUntilDone(ctx, a.recall)
	waitAtMost(ctx, a.contacted, previousBound)
	if ctx.Err() == nil {
		a.onSettled()
	}
}

// waitAtMost waits until the channel is closed, for at most the given time.
func waitAtMost(ctx context.Context, end <-chan struct{}, bound time.Duration) {
	t := time.NewTimer(bound)
	defer t.Stop()
	select {
	case <-end:
	case <-t.C:
	case <-ctx.Done():
	}
}

// wait waits for the next task and does it: renewing the entry and checking the directory at
// intervals, searching the directory, confirming the entry after an outage, or writing it on request.
func (a *Announcer) wait(ctx context.Context) {
	t := time.NewTimer(a.nextCheck())
	defer t.Stop()
	select {
	case <-t.C:
		a.renewAtInterval(ctx)
	case <-a.searchDue:
		_ = bounded(ctx, a.checkDirectory)
	case <-a.checkDue:
		a.confirm(ctx)
	case <-a.writeDue:
		a.retryUntilDone(ctx, a.write)
	case <-ctx.Done():
	}
}

// renewAtInterval renews the entry and checks the directory. When the store does not renew the entry,
// it is tried again soon, since the lease runs on.
func (a *Announcer) renewAtInterval(ctx context.Context) {
	if !a.renew(ctx) {
		a.renewalDue = time.Now().Add(jittered(longestWritePause))
		return
	}
	a.renewalDue = nextRenewal(time.Now())
	_ = bounded(ctx, a.checkDirectory)
	a.enterHub()
}

// nextRenewal returns when an entry that is renewed now is to be renewed again. A search of the
// directory that is under way then may delay the renewal by callBound.
func nextRenewal(now time.Time) time.Time {
	return now.Add(jittered(renewInterval) - callBound)
}

// retryUntilDone repeats a call until it succeeds, with growing pauses.
func (a *Announcer) retryUntilDone(ctx context.Context, call func(ctx context.Context) error) {
	pause := firstWritePause
	for ctx.Err() == nil {
		if bounded(ctx, call) == nil {
			return
		}
		a.pause(ctx, jittered(pause))
		pause = min(2*pause, longestWritePause)
	}
}

// pause waits before a call is repeated, at most until the store has recovered for others.
func (a *Announcer) pause(ctx context.Context, pause time.Duration) {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-t.C:
	case <-a.checkDue:
	case <-ctx.Done():
	}
}

// StoreRecovered is called when the store answers again after an outage, during which the entry may
// have expired. The entry is checked within recoverySpread.
func (a *Announcer) StoreRecovered() {
	time.AfterFunc(rand.N(recoverySpread), a.check)
}

// StoreRestored is called when the store was restored from a copy into an era: the entry of this
// node may be missing or out of date, and its lease may belong to another node. The entry is
// written again within a time that grows with the mesh.
func (a *Announcer) StoreRestored(era uint64) {
	a.mu.Lock()
	a.restoredEra = max(a.restoredEra, era)
	a.mu.Unlock()
	if a.outdated() {
		time.AfterFunc(a.restorePause(), a.check)
	}
}

// restorePause returns the pause before this node writes its entry again.
func (a *Announcer) restorePause() time.Duration {
	return rand.N(max(recoverySpread, time.Duration(len(a.table.View().Nodes()))*restoreSpreadPerNode))
}

// nextCheck returns the time until the next check of the entry. A restore of the store may have
// been reported while the announcer was busy with something else.
func (a *Announcer) nextCheck() time.Duration {
	left := time.Until(a.renewalDue)
	if a.outdated() {
		return min(left, a.restorePause())
	}
	return left
}

// outdated reports whether the entry was written, or found, in an earlier era of the store.
func (a *Announcer) outdated() bool {
	newest := a.newestEra()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lease != "" && a.era < newest
}

// newestEra returns the newest era that the store or other nodes have reported.
func (a *Announcer) newestEra() uint64 {
	seen := a.seenEra().Number
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(seen, a.restoredEra)
}

// hasWritten reports whether this incarnation has an entry already, or had one before the store was
// restored from a copy.
func (a *Announcer) hasWritten() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lease != "" || a.restoring
}

// check has the announcer's own goroutine make sure that the entry exists.
func (a *Announcer) check() {
	select {
	case a.checkDue <- struct{}{}:
	default:
	}
}

// bounded makes one call to the store with a timeout of callBound.
func bounded(ctx context.Context, call func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, callBound)
	defer cancel()
	return call(ctx)
}
