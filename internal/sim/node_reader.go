package sim

import (
	"context"
	"fmt"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/store"
	"github.com/levertide/levertide/pkg/versionstore"
)

// Times of a reader's lease.
const (
	leaseTTL      = 10 * time.Second
	renewPeriod   = 3 * time.Second
	acquirePeriod = 2 * time.Second
)

// maintainLease acquires, renews or releases the reader's lease as the plan
// demands, and reads the head while the lease is held.
func (a *agent) maintainLease() {
	now := a.world.scheduler.now
	r := &a.reader
	switch {
	case r.holdsLease() && (a.serves.leaving || (!a.plan.ReaderCandidate && len(a.plan.Parents) > 0)):
		a.releaseLease()
	case r.holdsLease() && now-r.renewedAt > leaseTTL:
		a.stopReading()
	case r.holdsLease() && now-r.triedAt > renewPeriod:
		a.renewLease()
	case !r.holdsLease() && !a.serves.leaving && a.plan.ReaderCandidate && now-r.triedAt > acquirePeriod:
		a.acquireLease()
	}
	if r.holdsLease() && now-r.readAt > headReadPeriod && !a.process.store.busy() {
		a.readHead()
	}
}

func (a *agent) acquireLease() {
	a.reader.triedAt = a.world.scheduler.now
	gate := gatedStore{a.world}
	a.process.store.run("acquire", func(ctx context.Context) func() {
		session, err := gate.CreateSession(ctx, a.node.id, leaseTTL)
		if err != nil {
			return nil
		}
		for slot := range a.world.options.Readers {
			key := fmt.Sprintf("levertide/reader/%d", slot)
			held, err := gate.Acquire(ctx, key, []byte(a.node.id), session)
			if err == nil && held {
				return func() { a.becomeReader(session, key) }
			}
		}
		_ = gate.DestroySession(ctx, session) // it lapses by itself otherwise
		return nil
	})
}

func (a *agent) becomeReader(session, key string) {
	a.reader.session, a.reader.slot = session, key
	a.reader.renewedAt = a.world.scheduler.now
	record := a.self.Attach()
	record.Reader = true
	a.announce(record)
	a.upstream.drop()
	a.replan()
	a.readHead()
}

func (a *agent) renewLease() {
	a.reader.triedAt = a.world.scheduler.now
	session := a.reader.session
	gate := gatedStore{a.world}
	a.process.store.run("renew", func(ctx context.Context) func() {
		err := gate.RenewSession(ctx, session)
		return func() {
			if err == nil && a.reader.session == session {
				a.reader.renewedAt = a.world.scheduler.now
			}
			if errorx.IsOfType(err, store.ErrSessionGone) && a.reader.session == session {
				a.stopReading()
			}
		}
	})
}

func (a *agent) releaseLease() {
	session := a.reader.session
	gate := gatedStore{a.world}
	a.stopReading()
	a.process.store.run("release", func(ctx context.Context) func() {
		_ = gate.DestroySession(ctx, session) // it lapses by itself otherwise
		return nil
	})
}

func (a *agent) stopReading() {
	a.reader.session, a.reader.slot = "", ""
	record := a.self.Attach()
	record.Reader = false
	a.announce(record)
	a.upstream.drop()
	a.replan()
}

// readHead reads the head and then loads the missing versions.
func (a *agent) readHead() {
	a.reader.readAt = a.world.scheduler.now
	a.process.store.run("head", func(ctx context.Context) func() {
		head, _, err := a.reader.versions.ReadHead(ctx, true)
		return func() { a.handleHead(head, err) }
	})
}

func (a *agent) handleHead(head rollout.Head, err error) {
	if errorx.IsOfType(err, versionstore.ErrStoreRegressed) {
		a.world.oracle.alarms++
		head, found := versionstore.CurrentHead(err)
		if found {
			a.reader.coordinator.ObserveHead(head, a.now())
		}
		return
	}
	if err != nil {
		return
	}
	a.observeHead(head)
	a.reader.coordinator.ObserveHead(head, a.now())
	for _, version := range a.missing() {
		a.load(version)
	}
	a.coordinate()
}

// load fetches a complete version from the store.
func (a *agent) load(version rollout.Version) {
	if a.reader.loading[version] {
		return
	}
	a.reader.loading[version] = true
	base, _ := a.history.Latest()
	a.process.store.run("load", func(ctx context.Context) func() {
		loaded, err := a.reader.versions.LoadSnapshot(ctx, version, base)
		return func() {
			delete(a.reader.loading, version)
			if err != nil {
				a.participant.FetchFailed(version)
				return
			}
			a.receive(loaded, true)
		}
	})
}

// coordinates reports whether this node coordinates rollouts: it is a reader, and
// the plan gives it no parent, as no reader that precedes it can be reached.
func (a *agent) coordinates() bool { return a.reader.holdsLease() && len(a.plan.Parents) == 0 }

// coordinate commits or aborts the proposed version when a decision is due.
func (a *agent) coordinate() {
	if !a.coordinates() || a.reader.deciding {
		return
	}
	now := a.now()
	a.reader.coordinator.ObserveMembers(a.table.LiveSum(), now)
	a.reader.coordinator.ObserveReadiness(a.readiness(), now)
	switch decision := a.reader.coordinator.Decide(now).(type) {
	case rollout.CommitVersion:
		a.decide("commit", func(ctx context.Context) (rollout.Head, error) {
			return a.reader.versions.Commit(ctx, decision.Version, decision.ApplyID)
		})
	case rollout.AbortVersion:
		a.decide("abort", func(ctx context.Context) (rollout.Head, error) {
			return a.reader.versions.Abort(ctx, decision.Version, decision.Rejection)
		})
	}
}

func (a *agent) decide(name string, write func(context.Context) (rollout.Head, error)) {
	a.reader.deciding = true
	a.process.store.run(name, func(ctx context.Context) func() {
		head, err := write(ctx)
		return func() {
			a.reader.deciding = false
			a.handleHead(head, err)
		}
	})
}
