package control

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/versionstore"
)

// decideTimeout bounds one commit or abort, including the read that verifies it.
const decideTimeout = 20 * time.Second

// minorityFactor times Config.UnresponsiveBound is how long a coordinator in the
// smaller part of a partitioned system waits for another coordinator to decide.
const minorityFactor = 5

// unloadableAttempts is how many failed attempts to load a broken proposed
// version from the store make the coordinator abort it.
const unloadableAttempts = 3

// coordinatorState is the state of a coordinator; machine is nil unless this
// node coordinates.
type coordinatorState struct {
	machine  *rollout.Coordinator
	deciding bool
	retryAt  time.Time
	pauses   backoff
	// broken is a version that could not be loaded, and why.
	broken   rollout.Version
	failures int
	reason   string
	// proposed is the proposed version, and proposedSince when it was first seen.
	proposed      rollout.Version
	proposedSince time.Time
}

// countUnloadable counts failed loads of a version that is broken in the store.
func (c *coordinatorState) countUnloadable(version rollout.Version, err error) {
	if !unloadable(err) {
		return
	}
	if c.broken != version {
		c.broken, c.failures = version, 0
	}
	c.failures++
	c.reason = messageText(err)
}

// coordinates reports whether this node is the coordinator: it reads the store
// and is the root, as it reaches no reader that ranks before it.
func (n *Node) coordinates() bool {
	return n.self.Reader && n.upstream.root
}

// coordinate commits or aborts the proposed version once that can be decided.
// It returns when to check again.
func (n *Node) coordinate(ctx context.Context, at time.Time) time.Time {
	state := &n.coordinator
	if !n.coordinates() {
		state.machine = nil
		return time.Time{}
	}
	n.observeForDecision(at)
	if state.deciding || n.storeState.regressed {
		return time.Time{}
	}
	if at.Before(state.retryAt) {
		return state.retryAt
	}
	return n.carryOutDecision(ctx, n.decide(at))
}

// observeForDecision passes the head, members and readiness to the coordinator.
func (n *Node) observeForDecision(at time.Time) {
	state := &n.coordinator
	if state.machine == nil {
		state.machine = rollout.NewCoordinator(rollout.CoordinatorOptions{UnresponsiveBound: n.config.UnresponsiveBound})
		state.pauses = backoff{base: storeBackoffBase, ceiling: storeBackoffCeiling}
	}
	if known := n.participant.State(); known.HeadKnown {
		state.machine.ObserveHead(known.Head, at)
	}
	state.machine.ObserveMembers(n.table.LiveSum(), at)
	state.machine.ObserveReadiness(n.subtreeReadiness(), at)
}

// decide returns the decision about the proposed version. A coordinator that
// has not staged the version itself commits nothing.
func (n *Node) decide(at time.Time) rollout.Decision {
	head := n.head()
	if head.Proposed != 0 && n.coordinator.broken == head.Proposed && n.coordinator.failures >= unloadableAttempts {
		return n.abortBroken(head, at)
	}
	if until := n.deferral(at); at.Before(until) {
		return rollout.Wait{Until: until}
	}
	decision := n.coordinator.machine.Decide(at)
	commit, commits := decision.(rollout.CommitVersion)
	if !commits {
		return decision
	}
	staged := n.participant.State().Staged
	if staged == nil || staged.Version() != commit.Version {
		return rollout.Wait{Until: at.Add(storeBackoffBase)}
	}
	return decision
}

// deferral returns the time until which a coordinator that has lost most of the
// nodes it knew leaves the decision to another one, because it may itself be in
// the part that is cut off.
func (n *Node) deferral(at time.Time) time.Time {
	state := &n.coordinator
	if proposed := n.head().Proposed; proposed != state.proposed {
		state.proposed, state.proposedSince = proposed, at
	}
	view := n.table.View()
	if view.Lost() <= view.Len() {
		return time.Time{}
	}
	return state.proposedSince.Add(minorityFactor * n.config.UnresponsiveBound)
}

func (n *Node) abortBroken(head rollout.Head, at time.Time) rollout.Decision {
	return rollout.AbortVersion{
		Version: head.Proposed,
		Rejection: rollout.Rejection{
			Version: head.Proposed,
			ApplyID: head.ApplyID,
			Node:    n.self.ID,
			Reason:  n.coordinator.reason,
			At:      at,
		},
	}
}

func (n *Node) carryOutDecision(ctx context.Context, decision rollout.Decision) time.Time {
	switch decision := decision.(type) {
	case rollout.Wait:
		return decision.Until
	case rollout.CommitVersion:
		n.startDecision(ctx, func(ctx context.Context) (rollout.Head, error) {
			return n.versions.Commit(ctx, decision.Version, decision.ApplyID)
		}, func() { n.events.VersionCommitted(decision.Version, decision.Unresponsive) })
	case rollout.AbortVersion:
		n.startDecision(ctx, func(ctx context.Context) (rollout.Head, error) {
			return n.versions.Abort(ctx, decision.Version, decision.Rejection)
		}, func() {
			n.events.VersionAborted(decision.Version, decision.Rejection.Node, decision.Rejection.Reason)
		})
	}
	return time.Time{}
}

// startDecision writes a decision without holding the lock. The write is a
// compare-and-swap: it fails with a conflict if another coordinator wrote first.
func (n *Node) startDecision(ctx context.Context, write func(context.Context) (rollout.Head, error), done func()) {
	n.coordinator.deciding = true
	n.spawn(func() {
		ctx, cancel := context.WithTimeout(ctx, decideTimeout)
		defer cancel()
		head, err := write(ctx)
		n.recordStoreResult(err)
		n.finishDecision(head, err, done)
	})
}

func (n *Node) finishDecision(head rollout.Head, err error, done func()) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	defer n.kick()
	state := &n.coordinator
	state.deciding = false
	if err == nil {
		state.pauses.reset()
		done()
		n.observeHead(head)
		n.startSweep()
		return
	}
	if errorx.IsOfType(err, versionstore.ErrConflict) {
		if current, found := versionstore.CurrentHead(err); found {
			n.observeHead(current)
		}
	}
	state.retryAt = now().Add(storeBackoffBase/2 + state.pauses.next())
}
