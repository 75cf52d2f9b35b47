package control

import (
	"cmp"
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/lease"
	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/store/ratelimit"
	"github.com/levertide/levertide/pkg/versionstore"
)

// Timing of reading the store.
const (
	// headWait is how long one blocking read of the head lasts. It also bounds how long the
	// restore of the store goes unnoticed by a read that began just after it and waits for an
	// index that the restored store lacks: 13 s together with headGrace, where a longer wait
	// took over 30 s.
	headWait = 8 * time.Second
	// headGrace is how much longer than headWait the answer may take.
	headGrace = 5 * time.Second
	// parentWaitLimit is how long a reader waits for its parent to send a
	// version before it loads the version from the store itself.
	parentWaitLimit = 300 * time.Millisecond
	// loadTimeout bounds loading one version.
	loadTimeout = 15 * time.Second
	// candidateSettle is how long a node waits before its first attempt at a
	// lease, because candidates change quickly while many nodes start.
	candidateSettle     = 300 * time.Millisecond
	storeBackoffBase    = 200 * time.Millisecond
	storeBackoffCeiling = 3 * time.Second
	leaseBackoffBase    = 500 * time.Millisecond
	leaseBackoffCeiling = 5 * time.Second
	leaseTimeout        = 3 * time.Second
)

// noSlot is the slot of a reader without a lease.
const noSlot = -1

// readerState holds whether the node is to read the store, and the slot of its lease.
type readerState struct {
	wanted bool
	slot   int
	// hasRead is set once the node has read the store.
	hasRead bool
	changed broadcast
}

// setWanted sets whether the node is to try to get a lease.
func (r *readerState) setWanted(wanted bool) {
	if r.wanted == wanted {
		return
	}
	r.wanted = wanted
	r.changed.wake()
}

// openStore prepares reading the platform's store.
func (n *Node) openStore() {
	if n.config.Store == nil {
		return
	}
	limiter := ratelimit.New(n.config.Store, ratelimit.Options{})
	n.versions = versionstore.New(versionstore.Config{Store: limiter.Normal()})
	n.lessor = lease.New(lease.Options{
		Store: limiter.Normal(),
		Name:  "levertide reader " + n.config.Self.ID,
		TTL:   n.config.ReaderLeaseTTL,

		Panicked: n.config.Panicked,
	})
}

// runReader reads the store as long as the node is a candidate and holds a lease.
func (n *Node) runReader(ctx context.Context) {
	pauses := backoff{base: leaseBackoffBase, ceiling: leaseBackoffCeiling}
	for ctx.Err() == nil {
		changed := n.reader.changed.wait()
		if !n.readerWanted() {
			if n.readUntilStoreFailed() {
				n.askStore(ctx)
				waitFor(ctx, changed, leaseBackoffBase/2+pauses.next())
				continue
			}
			pauses.reset()
			waitFor(ctx, changed, headWait)
			continue
		}
		waitFor(ctx, changed, candidateSettle)
		if !n.readerWanted() {
			continue
		}
		held, err := n.acquireReader(ctx)
		if err != nil {
			waitFor(ctx, changed, pauses.next())
			continue
		}
		pauses.reset()
		n.readAs(ctx, held)
	}
}

// readUntilStoreFailed reports whether the node was a reader and the store did not answer it last.
// Such a node asks on until the store answers: nobody else would correct what it tells operators.
// Nodes that have never read, of which there may be very many, do not ask.
func (n *Node) readUntilStoreFailed() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.reader.hasRead && n.storeState.contacted && !n.storeState.reachable
}

// askStore reads the head once, to see whether the store answers.
func (n *Node) askStore(ctx context.Context) {
	_, _, err := n.readHead(ctx, 0)
	if ctx.Err() == nil {
		n.recordStoreResult(err)
	}
}

// waitFor returns when the channel is closed, the limit has passed, or the
// context has ended.
func waitFor(ctx context.Context, changed <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (n *Node) readerWanted() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.reader.wanted
}

// readAs watches the head until the lease is lost or the node is no longer to
// read.
func (n *Node) readAs(ctx context.Context, held tenure) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.beginReading(held.slot)
	defer n.endReading(ctx, held)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer cancel()
		contain.Run(contain.Task, partName, n.config.Panicked, func() { n.awaitEndOfTenure(ctx, held) })
	}()
	n.watchHead(ctx)
	cancel()
	<-ended
}

// awaitEndOfTenure returns when reading has to stop.
func (n *Node) awaitEndOfTenure(ctx context.Context, held tenure) {
	var lost <-chan struct{}
	var retry <-chan time.Time
	if held.lease != nil {
		lost = held.lease.Lost()
	} else {
		timer := time.NewTimer(leaseBackoffCeiling)
		defer timer.Stop()
		retry = timer.C
	}
	for {
		changed := n.reader.changed.wait()
		if !n.readerWanted() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-lost:
			return
		case <-retry:
			return
		case <-changed:
		}
	}
}

func (n *Node) beginReading(slot int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.reader.slot, n.reader.hasRead = slot, true
	n.setReader(true)
	n.events.ReaderLeaseAcquired(slot)
}

func (n *Node) recordEndOfReading(held tenure) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.serving.Err() == nil {
		n.setReader(false)
	}
	n.events.ReaderLeaseLost(held.slot)
}

func (n *Node) endReading(ctx context.Context, held tenure) {
	n.recordEndOfReading(held)
	if held.lease == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaseTimeout)
	defer cancel()
	if err := held.lease.Release(ctx); err != nil && !errorx.IsOfType(err, lease.ErrLeaseLost) {
		n.recordStoreResult(err)
	}
}

// setReader announces to all other nodes whether this node reads the store.
func (n *Node) setReader(reads bool) {
	if n.self.Reader == reads {
		return
	}
	n.self.Reader = reads
	n.reattach()
	n.plan.dueAt = now()
	n.updateRole()
	n.kick()
}

// reattach announces the node under a higher attachment number and reports all
// nodes below it to the parent again.
func (n *Node) reattach() {
	n.self.Attachment++
	n.announceSelf()
	n.reports.newParent(n.subtreeRecords(), now())
	n.upstream.interrupt()
}

// watchHead reads the head in a loop, each time as soon as it changes. After an
// error it reads without waiting for a change: the store may have been restored
// to an index below the one last seen, and versions that could not be loaded are
// still due.
func (n *Node) watchHead(ctx context.Context) {
	pauses := backoff{base: storeBackoffBase, ceiling: storeBackoffCeiling}
	var index uint64
	for ctx.Err() == nil {
		head, next, err := n.readHead(ctx, index)
		if ctx.Err() != nil {
			return
		}
		n.recordStoreResult(err)
		if err == nil {
			index = next
			n.observeStoreHead(head)
			err = n.loadMissing(ctx)
		}
		if err != nil {
			index = 0
			sleep(ctx, storeBackoffBase/2+pauses.next())
			continue
		}
		pauses.reset()
	}
}

func (n *Node) readHead(ctx context.Context, index uint64) (rollout.Head, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, headWait+headGrace)
	defer cancel()
	if index == 0 {
		return n.versions.ReadHead(ctx, true)
	}
	return n.versions.WatchHead(ctx, index, headWait)
}

func (n *Node) observeStoreHead(head rollout.Head) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.observeHead(head)
}

// loadMissing loads the versions that the head names and the parent does not
// send. A version that cannot be loaded does not prevent the loading of the
// other. It returns the first error.
func (n *Node) loadMissing(ctx context.Context) error {
	if len(n.missingVersions()) == 0 {
		return nil
	}
	n.awaitParent(ctx)
	var first error
	for _, version := range n.missingVersions() {
		err := n.loadVersion(ctx, version)
		if err != nil {
			n.recordStoreResult(err)
			first = cmp.Or(first, err)
		}
	}
	return first
}

func (n *Node) missingVersions() []rollout.Version {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.feed.missing(n.head())
}

// awaitParent gives the parent up to parentWaitLimit to send missing versions.
func (n *Node) awaitParent(ctx context.Context) {
	deadline := now().Add(parentWaitLimit)
	for {
		arrived := n.waiters.wait()
		remaining := time.Until(deadline)
		if remaining <= 0 || ctx.Err() != nil || !n.hasParent() || len(n.missingVersions()) == 0 {
			return
		}
		waitFor(ctx, arrived, remaining)
	}
}

func (n *Node) hasParent() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.upstream.attached
}

func (n *Node) loadVersion(ctx context.Context, version rollout.Version) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	n.mutex.Lock()
	base, _ := n.feed.history.Latest()
	n.mutex.Unlock()
	loaded, err := n.versions.LoadSnapshot(ctx, version, base)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if err != nil {
		n.coordinator.countUnloadable(version, err)
		return err
	}
	if n.feed.scope.All {
		n.receive(loaded)
	}
	return nil
}

// unloadable reports whether an error means that a version can never be loaded.
func unloadable(err error) bool {
	return errorx.IsOfType(err, versionstore.ErrCorrupt) ||
		errorx.IsOfType(err, versionstore.ErrTooLarge) ||
		errorx.IsOfType(err, versionstore.ErrVersionNotFound)
}
