package hosted

import (
	"context"
	"time"

	"github.com/levertide/levertide/pkg/workers"
)

// What workers say of themselves: a leave that is acknowledged is a promise to give the
// worker nothing new, whoever dies.

const (
	// commitmentHolders is how many other nodes must hold a promise before it is
	// acknowledged, and promiseBound how long that is waited for.
	commitmentHolders = 2
	commitmentBound   = 400 * time.Millisecond
	// rejectionLogRate and rejectionLinesBurst bound the lines a second on calls for workers that
	// cannot be used, and longestLoggedName what is shown of who sent them, in bytes.
	rejectionLogRate  = 0.2
	rejectionLogBurst = 5
	longestLoggedName = 64
)

// Heartbeat takes a worker's heartbeat. When it returns nil the heartbeat may be
// acknowledged: a promise that it brings is kept from now on, whoever dies.
func (a *Agent) Heartbeat(ctx context.Context, heartbeat workers.Heartbeat) error {
	if a.config.KnowsService != nil && !a.config.KnowsService(heartbeat.Service) {
		// It would take the address of the worker that is beside this node.
		return workers.ErrInvalid.New("there is no service %q", heartbeat.Service)
	}
	change, err := a.config.Workers.Heartbeat(heartbeat, time.Now())
	if err != nil {
		return err
	}
	a.workerChanged(ctx, change, "heartbeat")
	return nil
}

// Reject tells of a call to the node's address for workers that cannot be used. Lines are
// bounded: whoever writes there by mistake mostly does so for long.
func (a *Agent) Reject(instance string, err error) {
	a.documents.restores.rejected.Add(1)
	if a.rejections.Allow() {
		a.config.Events.HeartbeatRejected(instance[:min(len(instance), longestLoggedName)], err)
	}
}

// rejectEntry tells of an entry in the store that is no node's, within the same bound.
func (a *Agent) rejectEntry(id string) {
	a.documents.restores.rejected.Add(1)
	if a.rejections.Allow() {
		a.config.Events.EntryRejected(id[:min(len(id), longestLoggedName)])
	}
}

// workerProbed takes that a worker has told who it is.
func (a *Agent) workerProbed(ctx context.Context, change workers.Change) {
	a.workerChanged(ctx, change, "asked at the start")
}

// Leave takes a worker's sign-off, like Heartbeat.
func (a *Agent) Leave(ctx context.Context, incarnation workers.Incarnation) error {
	change, err := a.config.Workers.Leave(incarnation, time.Now())
	if err != nil {
		return err
	}
	a.workerChanged(ctx, change, "sign-off")
	return nil
}

func (a *Agent) workerChanged(ctx context.Context, change workers.Change, cause string) {
	if !change.Changed {
		return
	}
	a.refreshWorkers()
	a.config.Events.WorkerChanged(change.Worker, cause)
	if !change.Worker.State.DrainCommitted() {
		a.background(a.spreadRecord)
		return
	}
	holders, stored := a.replicateCommitment(ctx)
	a.config.Events.DrainCommitmentHeld(change.Worker.Instance, holders, stored)
}

// replicateCommitment tells other nodes of the own record, and the store. It returns once
// enough nodes hold it and the store has answered, or the time for that is over:
// the nodes outlast this one, the store outlasts all nodes.
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

// commitmentReplication are those who are told of a promise before it is acknowledged.
type commitmentReplication struct {
	// wanted is how many other nodes are enough.
	wanted int
	// holder gets a token for each node that holds the promise; told is closed when
	// no further one can come.
	holder chan struct{}
	done   chan struct{}
	// stored gets whether the store holds the promise.
	stored chan bool
}

// wait waits for enough keepers, at most for promiseBound. A store that this node
// does not reach is not waited for.
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
