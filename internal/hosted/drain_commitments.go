package hosted

import (
	"context"
	"slices"
	"time"

	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/workers"
)

// This file processes what workers report about themselves. An acknowledged leave is a drain
// commitment: the worker is given nothing new, whichever nodes fail.

const (
	// commitmentHolders is how many other nodes must hold a drain commitment before it is
	// acknowledged, and commitmentBound the longest wait for them.
	commitmentHolders = 2
	commitmentBound   = 400 * time.Millisecond
	// removeTries and removePause are how often the entry of a forgotten node is tried to be removed.
	removeTries = 10
	removePause = 30 * time.Second
	// rejectionLogRate and rejectionLogBurst bound the log lines a second on what others write,
	// and longestLoggedName the part of the sender's name that is logged, in bytes.
	rejectionLogRate  = 0.2
	rejectionLogBurst = 5
	longestLoggedName = 64
)

// Heartbeat processes a worker's heartbeat. When it returns nil the heartbeat may be acknowledged:
// a drain commitment in it is kept from now on, whichever nodes fail. It returns workers.ErrNotRunning
// for a leave that cannot be committed to, and workers.ErrNotHeld for one that nobody else holds yet.
func (a *Agent) Heartbeat(ctx context.Context, heartbeat workers.Heartbeat) error {
	if err := a.checkBeside(heartbeat); err != nil {
		return err
	}
	if !heartbeat.Draining {
		return a.readyHeartbeat(ctx, heartbeat)
	}
	return a.commit(ctx, heartbeat, "heartbeat", func(now time.Time) (workers.Change, error) {
		return a.config.Workers.Heartbeat(heartbeat, now)
	})
}

// readyHeartbeat processes a heartbeat of a worker that does not leave.
func (a *Agent) readyHeartbeat(ctx context.Context, heartbeat workers.Heartbeat) error {
	rival, judged := a.contention.judge(ctx, heartbeat)
	if judged == verdictStaysOut {
		a.ignored.observe(heartbeat, workers.Change{Worker: rival, Ignored: workers.IgnoredContended})
		return nil
	}
	change, err := a.config.Workers.Heartbeat(heartbeat, time.Now())
	if err != nil {
		return err
	}
	if judged == verdictRuns {
		a.config.Workers.Confirm(workers.Incarnation{Instance: heartbeat.Instance})
	}
	a.ignored.observe(heartbeat, change)
	return a.workerChanged(ctx, change, "heartbeat")
}

// checkBeside checks that a heartbeat may be of the worker beside this node: another one would take its place.
func (a *Agent) checkBeside(heartbeat workers.Heartbeat) error {
	if a.config.MayBeBeside != nil && !a.config.MayBeBeside(heartbeat.Service) {
		return workers.ErrOtherService.New("no worker of a service %q is beside this node", heartbeat.Service)
	}
	if beside := a.config.WorkerAddress; beside.IsValid() && heartbeat.Address != beside {
		return workers.ErrOtherAddress.New("no worker at %v is beside this node, want %v", heartbeat.Address, beside)
	}
	return nil
}

// commit makes a drain commitment, which record enters in the registrations. When it returns nil
// the commitment is kept, also when another call has made it. The leave of a worker that is not the
// running one as far as this node knows is refused: the worker goes on to say it, or ends.
func (a *Agent) commit(ctx context.Context, leave workers.Heartbeat, cause string, record func(now time.Time) (workers.Change, error)) error {
	wait, end := a.commitments.begin(leave.Instance)
	defer end()
	change, err := record(time.Now())
	if err != nil {
		return err
	}
	if change.Ignored != "" {
		a.ignored.observe(leave, change)
		return workers.ErrNotRunning.New("another incarnation of %q is registered (%s)", leave.Instance, change.Ignored)
	}
	if !change.Changed {
		wait(ctx)
		if !a.commitments.isUnheld(leave.Instance) {
			return nil
		}
		return a.keepCommitment(ctx, change.Worker)
	}
	return a.workerChanged(ctx, change, cause)
}

// keepCommitment returns once a drain commitment outlasts this node. If neither another node nor the
// store holds it, it would be gone with this node: the worker has to ask again.
func (a *Agent) keepCommitment(ctx context.Context, leaving workers.Worker) error {
	holders, stored := a.replicateCommitment(ctx)
	kept := holders > 0 || stored || a.isAlone()
	a.commitments.setUnheld(leaving.Instance, !kept)
	if !kept {
		call := workers.Heartbeat{Instance: leaving.Instance, StartedAt: leaving.StartedAt, Sequence: leaving.Sequence, Draining: true}
		a.ignored.observe(call, workers.Change{Worker: leaving, Ignored: workers.IgnoredUnheld})
		return workers.ErrNotHeld.New("neither another node nor the store holds the drain of %q yet", leaving.Instance)
	}
	a.config.Events.DrainCommitmentHeld(leaving.Instance, holders, stored)
	return nil
}

// isAlone reports whether the mesh is known to have no other node.
func (a *Agent) isAlone() bool {
	return a.Ready() && len(a.config.Table.View().Nodes()) == 1
}

// forgotten removes the entry that a node which is gone for good has left in the store with drain
// commitments. The first of the nodes that read for all does it.
func (a *Agent) forgotten(n fleet.Node) {
	view := a.config.Table.View()
	first := fleet.Readers(view, a.config.Contacts.Reachable, 1)
	if len(drainCommittedOnly(n.Workers)) == 0 || !slices.Contains(first, view.Self().ID) {
		return
	}
	a.background(func(ctx context.Context) {
		for range removeTries {
			if bounded(ctx, func(ctx context.Context) error { return a.announcer.removeForgotten(ctx, n) }) == nil {
				return
			}
			sleep(ctx, removePause)
		}
	})
}

// Reject records an invalid call to the node's address for workers. Log lines are limited: a client
// that calls it by mistake mostly does so for long.
func (a *Agent) Reject(instance string, err error) {
	a.documents.restores.rejected.Add(1)
	a.refusals.observe(instance, err)
}

// recordUnencodable reports that the record of this node cannot be written. Log lines are limited.
func (a *Agent) recordUnencodable(err error) {
	if a.rejections.Allow() {
		a.config.Events.RecordUnencodable(err)
	}
}

// workerProbed processes the registration of a worker that was probed.
func (a *Agent) workerProbed(ctx context.Context, change workers.Change) {
	// Without an error: a worker that was asked is not draining.
	_ = a.workerChanged(ctx, change, "asked at the start")
}

// Leave processes a worker's sign-off, like Heartbeat.
func (a *Agent) Leave(ctx context.Context, incarnation workers.Incarnation) error {
	return a.commit(ctx, leaveOf(incarnation), "sign-off", func(now time.Time) (workers.Change, error) {
		return a.config.Workers.Leave(incarnation, now)
	})
}

// WorkerLeaving processes that a worker states in its answers that it leaves. It returns at once:
// the commitment is spread as if the worker had asked for it.
func (a *Agent) WorkerLeaving(incarnation workers.Incarnation) {
	a.background(func(ctx context.Context) {
		// The answer of an incarnation that is not registered any more has no effect, and is logged.
		_ = a.commit(ctx, leaveOf(incarnation), "its answers", func(now time.Time) (workers.Change, error) {
			return a.config.Workers.Drain(incarnation, now), nil
		})
	})
}

// leaveOf returns what a leave that is no heartbeat says of its worker.
func leaveOf(incarnation workers.Incarnation) workers.Heartbeat {
	return workers.Heartbeat{Instance: incarnation.Instance, StartedAt: incarnation.StartedAt, Draining: true}
}

// workerChanged tells the other nodes of a change. It fails with workers.ErrNotHeld when a drain
// commitment is not kept yet.
func (a *Agent) workerChanged(ctx context.Context, change workers.Change, cause string) error {
	if !change.Changed {
		return nil
	}
	a.refreshWorkers()
	a.config.Events.WorkerChanged(change.Worker, cause)
	if !change.Worker.State.DrainCommitted() {
		a.background(a.spreadRecord)
		return nil
	}
	return a.keepCommitment(ctx, change.Worker)
}

// replicateCommitment sends this node's record to other nodes and to the store. It returns once
// enough nodes hold it and the store has answered, or commitmentBound has passed. The copies at
// other nodes survive a failure of this one, and the copy in the store a failure of all nodes.
func (a *Agent) replicateCommitment(ctx context.Context) (holders int, stored bool) {
	replication := commitmentReplication{wanted: min(commitmentHolders, len(a.peers.reachablePeers()))}
	replication.holder = make(chan struct{}, commitmentHolders)
	replication.done = make(chan struct{})
	replication.stored = make(chan bool, 1)
	a.background(a.spreadRecord)
	a.background(func(ctx context.Context) {
		a.peers.Replicate(ctx, a.ownRecord(), replication.wanted, func() { replication.holder <- struct{}{} })
		close(replication.done)
	})
	a.background(func(ctx context.Context) { replication.stored <- a.announcer.PersistEntry(ctx) == nil })
	return replication.wait(ctx, a.config.Table.View().Self().ReadsStore)
}

// commitmentReplication tracks who holds a drain commitment before it is acknowledged.
type commitmentReplication struct {
	// wanted is how many other nodes are enough.
	wanted int
	// holder gets a value for each node that holds the commitment; done is closed when no further
	// one can come.
	holder chan struct{}
	done   chan struct{}
	// stored gets whether the store holds the commitment.
	stored chan bool
}

// wait waits for enough holders, at most for commitmentBound. It does not wait for a store that
// this node does not reach.
func (r *commitmentReplication) wait(ctx context.Context, reachesStore bool) (holders int, stored bool) {
	bound := time.NewTimer(commitmentBound)
	defer bound.Stop()
	answered, finished := !reachesStore, false
	for !answered || holders < r.wanted && !finished {
		select {
		case <-r.holder:
			holders++
		case <-r.done:
			r.done, finished = nil, true
			holders += len(r.holder)
		case stored = <-r.stored:
			answered = true
		case <-bound.C:
			return holders, stored
		case <-ctx.Done():
			return holders, stored
		}
	}
	return holders, stored
}
