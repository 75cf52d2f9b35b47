package hosted

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/fleet"
)

// adopt takes over the entry of a previous incarnation: others find this node through it, and
// renewing its lease is enough. Before is the newest era known when the entry was requested. It reports
// whether others find this node through the entry: one with another address, or of another writer, must
// be replaced at once, and its lease is not for this node to renew.
func (a *Announcer) adopt(e Entry, before uint64) bool {
	if a.hasWritten() {
		// A drain commitment was written before the list arrived: what the list shows is older.
		return true
	}
	previous, err := a.decode(e)
	if err != nil || !a.leadsHere(previous) {
		a.take(e)
		return false
	}
	a.setLease(e.Lease, before)
	a.mu.Lock()
	a.revision, a.unleased = e.Revision, len(drainCommittedOnly(previous.Workers)) > 0
	a.mu.Unlock()
	again := a.check
	if e.Lease == "" {
		again = a.writeSoon
	}
	time.AfterFunc(rand.N(rejoinSpread), again)
	return true
}

// leadsHere reports whether whoever reads the record finds this node.
func (a *Announcer) leadsHere(n fleet.Node) bool {
	self := a.table.View().Self()
	return n.ControlAddress == self.ControlAddress && n.CallAddress == self.CallAddress
}

// displaced reports whether the entry of this node, as read from the store, was replaced by one through
// which others do not find it. A list may be older than what this node has written.
func (a *Announcer) displaced(e Entry) bool {
	if _, revision := a.held(); e.Revision <= revision {
		return false
	}
	n, err := a.decode(e)
	return err != nil || !a.leadsHere(n)
}

// decode decodes an entry. One whose decoding panics counts as one that is not a node's.
func (a *Announcer) decode(e Entry) (n fleet.Node, err error) {
	err = contain.Read("entry", a.panicked, func() error {
		var invalid error
		n, invalid = decodeEntry(e)
		return invalid
	})
	return n, err
}

// recall reads the drain commitments of previous incarnations of this node, unless other nodes have
// reported them: through a hub of the zone, which reads on behalf of many nodes at a time, or by
// itself.
func (a *Announcer) recall(ctx context.Context) error {
	if a.commitmentsKnown() || a.firstStart {
		return nil
	}
	e, answered := a.sharedEntry(ctx)
	if !answered {
		var err error
		if e, err = a.directory.Entry(ctx, a.table.View().Self().ID); err != nil {
			return err
		}
	}
	displaced := a.displaced(e)
	a.take(e)
	if displaced {
		a.writeSoon()
	}
	return nil
}

// take records the revision of the held entry, and reports a previous incarnation found in it, also in
// one whose addresses are none.
func (a *Announcer) take(held Entry) {
	n, err := a.decode(held)
	a.mu.Lock()
	a.revision, a.unleased = held.Revision, len(drainCommittedOnly(n.Workers)) > 0
	a.mu.Unlock()
	if err != nil && held.Revision != 0 {
		a.onRejected(held.ID, err)
	}
	if n.ID != "" {
		a.onPrevious(n)
	}
}

// PersistEntry writes the entry from the current record of the node. When that fails, it is retried
// later.
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

// write writes the record to the store. An entry that was written by somebody else belongs to a
// previous incarnation, or is a write of this one that arrived late; its drain commitments are
// taken over before it is replaced.
func (a *Announcer) write(ctx context.Context) error {
	select {
	case a.writeTurn <- struct{}{}:
		defer func() { <-a.writeTurn }()
	case <-ctx.Done():
		return ErrUnanswered.Wrap(ctx.Err(), "waiting for an earlier write of the entry to end")
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
		err = ErrRefused.New("entry was replaced by other writers in each of %d attempts", writeTries)
	}
	return err
}

// tryWrite makes one attempt; false without an error means that another entry was found, or that
// the store was restored from a copy meanwhile.
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
	content, err := encodeEntry(own)
	if err != nil {
		a.onUnencodable(err)
		return false, err
	}
	committed := len(drainCommittedOnly(own.Workers))
	if committed > 0 {
		lease = ""
	}
	held, replaced, err := a.directory.Replace(ctx, Entry{ID: own.ID, Content: content, Revision: revision}, lease)
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
	if a.wrote(held.Revision, committed > 0) {
		a.onRewritten(a.newestEra(), committed)
	}
	return !a.outdated(), nil
}

// wrote records the revision of the entry that was written, and whether it is bound to no lease. It
// reports whether that was the first write since the store was restored from a copy.
func (a *Announcer) wrote(revision uint64, unleased bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.revision, a.unleased = revision, unleased
	restored := a.restoring
	a.restoring = false
	return restored
}

func (a *Announcer) held() (Lease, uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lease, a.revision
}

// setLease records a lease that was requested when the given era was the newest one known: the
// lease belongs to that era or a later one. When no era was known, the answer itself reported the
// first.
func (a *Announcer) setLease(lease Lease, before uint64) {
	if before == 0 {
		before = a.newestEra()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lease, a.era = lease, before
}

// forgetLease drops the lease and revision of an earlier era: both may be given out again, the
// lease to another node. The entry that the store has, if any, is taken over before it is replaced.
func (a *Announcer) forgetLease() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lease, a.revision, a.restoring = "", 0, true
}

// renew renews the lease of a node that has an entry, and writes the entry again when the lease has
// ended. It reports whether the node has nothing left to renew.
func (a *Announcer) renew(ctx context.Context) bool {
	lease, _ := a.held()
	if lease == "" {
		return true
	}
	if a.outdated() {
		a.retryUntilDone(ctx, a.write)
		return true
	}
	err := bounded(ctx, func(ctx context.Context) error { return a.directory.Renew(ctx, lease) })
	if errorx.IsOfType(err, ErrLeaseEnded) {
		a.retryUntilDone(ctx, a.write)
		return true
	}
	return err == nil
}

// confirm makes sure that the entry of this node, if it has one, has outlasted an outage of the
// store, or a restore.
func (a *Announcer) confirm(ctx context.Context) {
	if !a.renew(ctx) {
		a.renewalDue = earlier(a.renewalDue, time.Now().Add(jittered(longestWritePause)))
	}
}

// earlier returns the earlier of two moments.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// CommitmentsChecked is called now and then: an entry without drain commitments is bound to a lease
// again, with which it goes when its machine is lost.
func (a *Announcer) CommitmentsChecked() {
	a.mu.Lock()
	unleased := a.unleased
	a.mu.Unlock()
	if unleased && len(drainCommittedOnly(a.table.View().Self().Workers)) == 0 {
		a.writeSoon()
	}
}

// removeForgotten removes the entry of a node that is gone for good, unless a later incarnation of the
// node has written it.
func (a *Announcer) removeForgotten(ctx context.Context, n fleet.Node) error {
	held, err := a.directory.Entry(ctx, n.ID)
	if err != nil || held.Revision == 0 {
		return err
	}
	if written, err := a.decode(held); err != nil || written.Incarnation > n.Incarnation {
		return nil
	}
	return a.directory.Remove(ctx, n.ID, held.Revision)
}

// withdraw removes the entry at a planned stop. An entry with drain commitments, or with
// quarantined requests, stays for the next incarnation, until its lease ends or the node is forgotten.
func (a *Announcer) withdraw(ctx context.Context) {
	a.mu.Lock()
	lease, revision, unleased := a.lease, a.revision, a.unleased
	a.mu.Unlock()
	own := a.table.View().Self()
	// A lease of an earlier era may have been granted to another node since.
	if lease == "" || a.outdated() || len(drainCommittedOnly(own.Workers)) > 0 || len(own.Quarantined) > 0 {
		return
	}
	_ = bounded(ctx, func(ctx context.Context) error {
		if unleased {
			return a.directory.Remove(ctx, own.ID, revision)
		}
		return a.directory.Withdraw(ctx, lease)
	})
}
