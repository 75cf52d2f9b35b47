package hosted

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/levertide/levertide/pkg/fleet"
)

const (
	// directorySize is how many nodes have an entry in the store at least. Others
	// find the mesh by these: a herd of any size then writes no more than that.
	directorySize = 24
	// zoneEntries is how many nodes of each zone, the first hubs of it, have an entry beside
	// the directory's size: all nodes of a zone that starts ask its hub, and the entries that
	// happened to come first are mostly of machines that cannot answer so many. With hubs of
	// 0.16 of a core for 164 nodes, 153 of 247 nodes got no answer in 250 ms; with the
	// largest machines none of 158 was without.
	zoneEntries = 2
	// hubEntryPause is the mean time after a start at which a node knows whether it is one
	// of these.
	hubEntryPause = 4 * time.Second
	// startSpread is the time within which the nodes of a whole mesh that starts for the
	// first time come to the empty store: those that have come double each startDoubling.
	// However many nodes there are, some come first, write their entries, which takes
	// three calls of a few milliseconds, and are found by the others in a stale list.
	startSpread   = 2 * time.Second
	startDoubling = 150 * time.Millisecond
	// rejoinSpread is the time over which nodes look after entries that former lives
	// of them have left. These were renewed 60 s before at most, which leaves time.
	rejoinSpread = 20 * time.Second
	// entryTTL is the life of this node's entry in the store, and renewInterval
	// how often it is lengthened, or looked whether there are too few.
	entryTTL      = 2 * time.Minute
	renewInterval = 40 * time.Second
	// recoverySpread is the time over which nodes look after their entries when the
	// store is back. Entries that lapsed are there again within two seconds.
	recoverySpread = 500 * time.Millisecond
	// restoreSpreadPerNode, times the nodes known, is the time over which nodes write their
	// entries again when the store came back from a copy, if that is longer than
	// returnSpread. Each takes up to three writes: a mesh of 985 nodes, of which 32 had an
	// entry, made 95 writes in 0.7 s (simulated time).
	restoreSpreadPerNode = 2 * time.Millisecond
	// recallPause is how long nodes that were met have before the store is asked
	// for the former lives of this one.
	recallPause = 100 * time.Millisecond
	// callBound bounds one call to the store.
	callBound = 1500 * time.Millisecond
	// writeTries bounds how often an entry is written again at once because
	// another one was found, or its lease had ended.
	writeTries = 3
	// firstWritePause and longestWritePause bound the pauses between calls that
	// the store does not answer.
	firstWritePause   = 100 * time.Millisecond
	longestWritePause = 4 * time.Second
)

// Announcer finds the first other nodes in the store, and keeps this node's entry
// there if too few others have one, or if the node has promised something of its
// workers: when all nodes die at once, nobody else remembers. It is a suture
// service.
type Announcer struct {
	directory Directory
	table     *fleet.Table
	// firstStart tells that the whole mesh starts, so that nobody has former lives.
	firstStart bool
	// onListed is called with the other nodes that the store names, and whether it names this
	// one. It returns when some of them have been asked.
	onListed func(ctx context.Context, nodes []fleet.Node, named bool)
	// onPrevious is called with entries of this node that others have written: its
	// onPrevious lives.
	onPrevious func(n fleet.Node)
	// commitmentsKnown reports whether the node knows its former lives already, and
	// settled is called when the store knows nothing more of them.
	commitmentsKnown func() bool
	onSettled        func()
	// sharedEntry returns the entry of this node as another one has read it for many; false
	// when that has not answered.
	sharedEntry func(ctx context.Context) (Entry, bool)

	// onRewritten is told that the entry was written again after the store came back from a copy,
	// with so many promises.
	onRewritten func(era uint64, promised int)
	// onRejected is told of entries that are no node's.
	onRejected func(id string)

	// contacted is closed when the nodes that were contacted last have answered, or have not in
	// time. It belongs to the announcer's own goroutine.
	contacted <-chan struct{}
	// writeTurn is held while the entry is written, so that a newer one never meets an
	// older one on its way.
	writeTurn chan struct{}
	// writeDue is signalled when the entry is to be written, returned when the store
	// answers again after an outage.
	writeDue chan struct{}
	checkDue chan struct{}

	// seenEra returns the highest era that the store has told this node.
	seenEra func() Era

	mu sync.Mutex
	// lease is the one that the entry is under; empty while this life has none.
	lease    Lease
	revision uint64
	// era is the one in which the lease was granted, or found alive. Leases and revisions of
	// an earlier one are nobody's, or another's.
	era uint64
	// restoring tells that the entry is to be written again after the store came back from a
	// copy.
	restoring bool
	// restoredEra is the highest era that this node has heard of.
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
	}
}

// String names the part in events.
func (a *Announcer) String() string { return "announcer" }

// Serve finds the others, and keeps the entry until the context ends.
func (a *Announcer) Serve(ctx context.Context) error {
	if a.firstStart {
		sleep(ctx, firstStartDelay(1-rand.Float64()))
	}
	a.retryUntilDone(ctx, a.join)
	a.settle(ctx)
	time.AfterFunc(jittered(hubEntryPause), a.enterHub)
	for ctx.Err() == nil {
		a.wait(ctx)
	}
	return ctx.Err()
}

// enterHub has the entry written if this node is one of the first hubs of its zone, and has
// none.
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

// firstStartDelay returns how long after the first start of a mesh a node calls the store, given
// a number drawn from above 0 up to 1.
func firstStartDelay(drawn float64) time.Duration {
	early := time.Duration(-math.Log2(drawn) * float64(startDoubling))
	return max(startSpread-early, 0)
}

// settle finds out what former lives have promised. Neither the nodes that were met
// nor the store is enough alone: the nodes may all have started just now, and the
// store may not have been reached when the promise was made.
func (a *Announcer) settle(ctx context.Context) {
	waitAtMost(ctx, a.contacted, recallPause)
	a.retryUntilDone(ctx, a.recall)
	waitAtMost(ctx, a.contacted, previousBound)
	if ctx.Err() == nil {
		a.onSettled()
	}
}

// waitAtMost waits for an end, for at most the given time.
func waitAtMost(ctx context.Context, end <-chan struct{}, bound time.Duration) {
	t := time.NewTimer(bound)
	defer t.Stop()
	select {
	case <-end:
	case <-t.C:
	case <-ctx.Done():
	}
}

// wait renews the entry, or looks whether there are too few, when it is time, and
// writes the entry when that is asked for.
func (a *Announcer) wait(ctx context.Context) {
	t := time.NewTimer(a.nextCheck())
	defer t.Stop()
	select {
	case <-t.C:
		a.renew(ctx)
	case <-a.checkDue:
		a.confirm(ctx)
	case <-a.writeDue:
		a.retryUntilDone(ctx, a.write)
	case <-ctx.Done():
	}
}

// retryUntilDone makes a call retryUntilDone it succeeds, with growing pauses.
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

// pause waits before a call is made again, until the store answers others.
func (a *Announcer) pause(ctx context.Context, pause time.Duration) {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-t.C:
	case <-a.checkDue:
	case <-ctx.Done():
	}
}

// StoreRecovered tells that the store answers again after an outage, in which the
// entry may have lapsed. The entry is looked after within returnSpread.
func (a *Announcer) StoreRecovered() {
	time.AfterFunc(rand.N(recoverySpread), a.check)
}

// StoreRestored tells that the store came back from a copy into an era: the entry of this
// node may be gone, or an older one, and its lease may be another's. It is written again
// within a time that grows with the mesh.
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

// nextCheck returns after how long the entry is looked after. The word that the store came
// back from a copy may have come while the announcer was busy with something else.
func (a *Announcer) nextCheck() time.Duration {
	if a.outdated() {
		return a.restorePause()
	}
	return jittered(renewInterval)
}

// outdated reports whether the entry was written, or found, in an earlier era of the store.
func (a *Announcer) outdated() bool {
	newest := a.newestEra()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lease != "" && a.era < newest
}

// newestEra returns the newest era that the store or other nodes have told.
func (a *Announcer) newestEra() uint64 {
	seen := a.seenEra().Number
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(seen, a.restoredEra)
}

// hasWritten reports whether this life has an entry already, or had one before the store came
// back from a copy.
func (a *Announcer) hasWritten() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lease != "" || a.restoring
}

// check has the announcer's own goroutine make sure that the entry is there.
func (a *Announcer) check() {
	select {
	case a.checkDue <- struct{}{}:
	default:
	}
}

// bounded makes one call to the store.
func bounded(ctx context.Context, call func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, callBound)
	defer cancel()
	return call(ctx)
}
