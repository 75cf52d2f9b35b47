package hosted

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/fleet"
)

const (
	// readerCount is how many nodes watch the store.
	readerCount = 3
	// watchWait is how long one watch is held. It bounds how long it goes unnoticed that a store
	// became unresponsive and recovered. When all readers are cut off at once, a document reaches
	// all nodes at most 2.25 s later (simulated time, 60 nodes, 120 cuts); when watches are held for
	// 2.5 s, it does not reach them within that time.
	watchWait = 800 * time.Millisecond
	// secondaryWatchWait is how long the readers other than the first hold their watches. Updates
	// arrive through a watch at once, however long it is held. That all readers are cut off has to
	// be noticed by one of them only: the others need not ask the store as often (1.65 calls a
	// second of three readers instead of 3).
	secondaryWatchWait = 5 * time.Second
	// shortestWatch is the least time between two watches of which the first has returned nothing: a
	// store may answer all of them at once, and all nodes share the calls that it takes.
	shortestWatch = 200 * time.Millisecond
	// answerBound is how long the store may take beyond the wait of a watch, or to answer a read.
	answerBound = time.Second
	// roleInterval is how often a node checks whether it is one of the readers.
	roleInterval = 250 * time.Millisecond
	// retryPause is the mean pause before a call to a store that failed is retried, in a mesh of up
	// to pauseNodes; in larger ones it grows with the nodes, so that all together retry no more
	// often.
	retryPause = 400 * time.Millisecond
	pauseNodes = 12
	// longestRetryPause bounds the pause that starts from retryPause.
	longestRetryPause = 20 * time.Second
)

// errOtherFirst is the cause of the end of a watch when another node has become the first reader.
var errOtherFirst = errors.New("another node has become the first reader")

// Reader watches the store while this node is one of its readers. It is a suture service.
type Reader struct {
	source    Source
	documents *Documents
	table     *fleet.Table
	contacts  *fleet.Contacts
	events    Events
	panicked  contain.Report
	// peersAsked is closed when the first nodes that were asked have answered or timed out, and
	// firstStart is set when the whole mesh starts for the first time.
	peersAsked <-chan struct{}
	// isZoneHub reports whether the others of the zone ask this node first.
	isZoneHub  func() bool
	firstStart bool
	// spread sends a new document to all nodes, and announce this node's record.
	spread, announce func(ctx context.Context)

	// orders reads the roll-out orders, which rollouts receives; nil where roll-outs are not used.
	orders   func(ctx context.Context) ([]Order, error)
	rollouts *Rollouts

	// after is the position to watch from; at the zero position the document is read in full.
	// ordersDue is set when the orders are to be read before that watch.
	after     Position
	ordersDue bool
	// reads is set while this node is one of the readers, as it was last looked up.
	reads atomic.Bool
	// first is set when this node is the first of the readers.
	first bool
	// waited is set once the node has waited for others before its first watch.
	waited bool
}

// String returns the name of the service in events.
func (r *Reader) String() string { return "reader" }

// Serve reads the store until the context ends.
func (r *Reader) Serve(ctx context.Context) error {
	r.awaitPeers(ctx)
	for ctx.Err() == nil {
		switch {
		case !r.table.View().Self().ReadsStore:
			r.recover(ctx)
		case r.documents.Version() > 0 && !r.isReader():
			r.after = Position{}
			sleep(ctx, roleInterval)
		case r.after != Position{} && !r.waited:
			// A node that has just started knows no others, and would watch the store although
			// others read it on behalf of all.
			r.waited = true
			sleep(ctx, roleInterval)
		default:
			r.step(ctx)
		}
	}
	return ctx.Err()
}

// readers returns the nodes that read on behalf of all, the first one first.
func (r *Reader) readers() []string {
	return fleet.Readers(r.table.View(), r.contacts.Reachable, readerCount)
}

// isReader reports whether this node is one of those that read on behalf of all.
func (r *Reader) isReader() bool {
	place := slices.Index(r.readers(), r.table.View().Self().ID)
	reads := place >= 0
	r.first = place == 0
	if r.reads.Swap(reads) != reads {
		r.events.ReaderRoleChanged(reads)
	}
	return reads
}

// watchWait returns how long this node holds a watch.
func (r *Reader) watchWait() time.Duration {
	if r.first {
		return watchWait
	}
	return secondaryWatchWait
}

// step makes one call to the store.
func (r *Reader) step(ctx context.Context) {
	if r.after == (Position{}) {
		r.read(ctx)
		return
	}
	if r.ordersDue && !r.readOrders(ctx) {
		return
	}
	began := time.Now()
	watched, err := r.watch(ctx)
	switch {
	case errorx.IsOfType(err, ErrHistoryGone):
		r.after = Position{}
	case err != nil:
		r.storeLost(ctx, err)
	default:
		if watched.Document == nil && len(watched.Orders) == 0 {
			sleep(ctx, shortestWatch-time.Since(began))
		}
		r.after = watched.Next
		if r.rollouts != nil {
			r.rollouts.TakeOrders(watched.Orders)
		}
		if watched.Superseded > 0 {
			// Documents arrive faster than the link carries them: a watch from here would return
			// each of them, a read only the newest.
			r.after = Position{}
		}
		if watched.Document != nil {
			r.take(ctx, *watched.Document)
		}
	}
}

// watch makes one watch. That of a reader which is not the first ends, as if nothing had changed,
// when another node becomes the first: the former one may have been cut off from the store, and
// nobody would notice for as long as this watch lasts that its connection has gone silent.
func (r *Reader) watch(ctx context.Context) (Watched, error) {
	wait := r.watchWait()
	bounded, cancel := context.WithTimeout(ctx, wait+answerBound)
	defer cancel()
	if r.first {
		return r.source.Watch(bounded, r.after, wait)
	}
	watching, end := context.WithCancelCause(bounded)
	defer end(nil)
	go contain.Run(contain.Task, r.String(), r.panicked, func() { r.awaitOtherFirst(watching, end) })
	watched, err := r.source.Watch(watching, r.after, wait)
	if err != nil && errors.Is(context.Cause(watching), errOtherFirst) {
		return Watched{Next: r.after}, nil
	}
	return watched, err
}

// awaitOtherFirst ends a watch once another node has become the first reader, and returns at the
// end of the context.
func (r *Reader) awaitOtherFirst(watching context.Context, end context.CancelCauseFunc) {
	first := firstOf(r.readers())
	for watching.Err() == nil {
		sleep(watching, roleInterval)
		if firstOf(r.readers()) != first {
			end(errOtherFirst)
		}
	}
}

func firstOf(readers []string) string {
	if len(readers) == 0 {
		return ""
	}
	return readers[0]
}

// read reads the full document. It reports whether the store answered.
func (r *Reader) read(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, answerBound)
	defer cancel()
	document, next, err := r.source.Read(bounded)
	switch {
	case errorx.IsOfType(err, ErrNoDocument):
		// The node that finds the first document sends it to the others.
		r.awaitDocument(ctx, nil, jittered(r.scaledToMesh(roleInterval)))
		return true
	case err != nil:
		r.storeLost(ctx, err)
		return false
	}
	r.after = next
	r.ordersDue = r.orders != nil
	r.take(ctx, document)
	return true
}

// readOrders reads the orders that a watch from here would not return: only nodes that watch need
// them, and most nodes that read the document once never watch. It reports whether the store
// answered.
func (r *Reader) readOrders(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, answerBound)
	defer cancel()
	orders, err := r.orders(bounded)
	if err != nil {
		r.storeLost(ctx, err)
		return false
	}
	r.rollouts.TakeOrders(orders)
	r.ordersDue = false
	return true
}

func (r *Reader) take(ctx context.Context, document Document) {
	if r.documents.Take(document) {
		r.spread(ctx)
	}
}

// storeLost announces that this node does not reach the store, so that another becomes a reader in
// its place.
func (r *Reader) storeLost(ctx context.Context, err error) {
	if ctx.Err() != nil || !r.table.View().Self().ReadsStore {
		return
	}
	r.after = Position{}
	r.table.Update(func(own *fleet.Node) { own.ReadsStore = false })
	r.events.StoreUnreachable(err)
	r.announce(ctx)
}

// recover tries the store again after a pause.
func (r *Reader) recover(ctx context.Context) {
	sleep(ctx, r.pause())
	if ctx.Err() != nil || !r.read(ctx) {
		return
	}
	r.table.Update(func(own *fleet.Node) { own.ReadsStore = true })
	r.events.StoreReachable()
	r.announce(ctx)
}

func (r *Reader) pause() time.Duration {
	return jittered(min(r.scaledToMesh(retryPause), longestRetryPause))
}

// scaledToMesh scales a pause that suits a mesh of up to pauseNodes to the size of this one, so
// that all nodes together call no more often than those would.
func (r *Reader) scaledToMesh(pause time.Duration) time.Duration {
	nodes := len(r.table.View().Nodes())
	return pause * time.Duration(max(nodes, pauseNodes)) / pauseNodes
}

// jittered returns a duration from half to one and a half of the mean.
func jittered(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(rand.Int64N(int64(mean)+1))
}

// sleep waits for the given time, or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
