package hosted

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"
)

// adopt takes over the entry that a former life has left: others find this node by
// it, and it is enough to keep its lease alive. One that cannot be kept, or names another
// address, is written anew. Before is the newest era known when it was asked for.
func (a *Announcer) adopt(e Entry, before uint64) {
	if a.hasWritten() {
		// A promise was kept before the list came: what it shows is older.
		return
	}
	previous, own := decodeEntry(e)
	if !own {
		// Another writer's: its lease is not this node's to keep.
		e.Lease = ""
		a.onRejected(e.ID)
	}
	a.setLease(e.Lease, before)
	a.mu.Lock()
	a.revision = e.Revision
	a.mu.Unlock()
	again := a.writeSoon
	if self := a.table.View().Self(); e.Lease != "" && previous.ControlAddress == self.ControlAddress && previous.CallAddress == self.CallAddress {
		again = a.check
	}
	time.AfterFunc(rand.N(rejoinSpread), again)
}

// recall reads what former lives of this node have promised, unless other nodes
// have told: by way of the hub of the zone, which reads for many nodes at a time, or
// by itself.
func (a *Announcer) recall(ctx context.Context) error {
	if a.commitmentsKnown() || a.firstStart {
		return nil
	}
	if e, answered := a.sharedEntry(ctx); answered {
		a.take(e)
		return nil
	}
	e, err := a.directory.Entry(ctx, a.table.View().Self().ID)
	if err != nil {
		return err
	}
	a.take(e)
	return nil
}

// take keeps the revision of the entry held, and tells of a former life.
func (a *Announcer) take(held Entry) {
	a.mu.Lock()
	a.revision = held.Revision
	a.mu.Unlock()
	n, ok := decodeEntry(held)
	switch {
	case ok:
		a.onPrevious(n)
	case held.Revision != 0:
		a.onRejected(held.ID)
	}
}

// PersistEntry writes the entry as the node's record stands now. When that fails, it is
// tried again later.
func (a *Announcer) PersistEntry(ctx context.Context) error {
	err := bounded(ctx, a.write)
	if err != nil {
		time.AfterFunc(jittered(firstWritePause), a.writeSoon)
	}
	return err
}

// writeSoon has the entry written by the announcer's own goroutine.
func (a *Announcer) writeSoon() {
	select {
	case a.writeDue <- struct{}{}:
	default:
	}
}

// write puts the record into the store. An entry that somebody else has written is
// of a former life, or a write of this one that arrived late; what it promises is
// taken over before it is replaced.
func (a *Announcer) write(ctx context.Context) error {
	select {
	case a.writeTurn <- struct{}{}:
		defer func() { <-a.writeTurn }()
	case <-ctx.Done():
		return ErrUnanswered.Wrap(ctx.Err(), "an earlier write is under way")
	}
	var err error
	for range writeTries {
		var done bool
		if done, err = a.tryWrite(ctx); done {
			return nil
		}
		if err != nil && !errorx.IsOfType(err, ErrLeaseEnded) {
			return err
		}
	}
	if err == nil {
		err = ErrRefused.New("the entry was written by others %d times", writeTries)
	}
	return err
}

// tryWrite makes one try; false without an error means that another entry was found, or
// that the store came back from a copy meanwhile.
func (a *Announcer) tryWrite(ctx context.Context) (bool, error) {
	if a.outdated() {
		a.forgetLease()
	}
	lease, revision := a.held()
	if lease == "" {
		before := a.newestEra()
		granted, err := a.directory.Grant(ctx, entryTTL)
		if err != nil {
			return false, err
		}
		a.setLease(granted, before)
		lease = granted
	}
	own := a.table.View().Self()
	held, replaced, err := a.directory.Replace(ctx, Entry{ID: own.ID, Content: encodeEntry(own), Revision: revision}, lease)
	switch {
	case errorx.IsOfType(err, ErrLeaseEnded):
		a.setLease("", 0)
		return false, err
	case err != nil:
		return false, err
	case !replaced:
		a.take(held)
		return false, nil
	}
	if a.wrote(held.Revision) {
		a.onRewritten(a.newestEra(), len(drainCommittedOnly(own.Workers)))
	}
	return !a.outdated(), nil
}

// wrote keeps the revision of the entry that was written. It reports whether that was the first
// one since the store came back from a copy.
func (a *Announcer) wrote(revision uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.revision = revision
	restored := a.restoring
	a.restoring = false
	return restored
}

func (a *Announcer) held() (Lease, uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lease, a.revision
}

// setLease keeps a lease that was asked for when the given era was the newest one known: it is
// of that one, or of a later one. Where none was known, the answer was the first.
func (a *Announcer) setLease(lease Lease, before uint64) {
	if before == 0 {
		before = a.newestEra()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lease, a.era = lease, before
}

// forgetLease forgets lease and revision of an earlier era: both may be given out again, the
// lease to another node. The entry that the store shows, if any, is taken over before it is
// replaced.
func (a *Announcer) forgetLease() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lease, a.revision, a.restoring = "", 0, true
}

// renew lengthens the lease of a node that has an entry, and writes the entry anew
// when the lease has ended. A node without one looks whether there are enough, and
// meets nodes that it does not know.
func (a *Announcer) renew(ctx context.Context) {
	lease, _ := a.held()
	if lease == "" {
		_ = bounded(ctx, a.checkDirectory)
		a.enterHub()
		return
	}
	if a.outdated() {
		a.retryUntilDone(ctx, a.write)
		return
	}
	err := bounded(ctx, func(ctx context.Context) error { return a.directory.Renew(ctx, lease) })
	if errorx.IsOfType(err, ErrLeaseEnded) {
		a.retryUntilDone(ctx, a.write)
	}
}

// confirm makes sure that the entry of this node, if it has one, has outlasted an
// outage of the store, or its return from a copy.
func (a *Announcer) confirm(ctx context.Context) {
	if lease, _ := a.held(); lease != "" {
		a.renew(ctx)
	}
}

// withdraw takes the entry away, at a planned stop. One that holds promises, or tells of
// requests that must not be run, stays for the next life, until its lease ends.
func (a *Announcer) withdraw(ctx context.Context) {
	lease, _ := a.held()
	own := a.table.View().Self()
	// A lease of an earlier era may have been granted to another node since.
	if lease == "" || a.outdated() || len(drainCommittedOnly(own.Workers)) > 0 || len(own.Quarantined) > 0 {
		return
	}
	_ = bounded(ctx, func(ctx context.Context) error { return a.directory.Withdraw(ctx, lease) })
}
