package hosted

import (
	"context"
	"time"

	"github.com/levertide/levertide/pkg/workers"
)

// What workers say of themselves: a leave that is acknowledged is a promise to give the
// worker nothing new, whoever dies.

const (
	// promiseHolders is how many other nodes must hold a promise before it is
	// acknowledged, and promiseBound how long that is waited for.
	promiseHolders = 2
	promiseBound   = 400 * time.Millisecond
	// rejectionLines and rejectionLinesBurst bound the lines a second on calls for workers that
	// cannot be used, and longestLoggedName what is shown of who sent them, in bytes.
	rejectionLines      = 0.2
	rejectionLinesBurst = 5
	longestLoggedName   = 64
)

// Heartbeat takes a worker's heartbeat. When it returns nil the heartbeat may be
// acknowledged: a promise that it brings is kept from now on, whoever dies.
func (a *Agent) Heartbeat(ctx context.Context, beat workers.Heartbeat) error {
	if a.config.KnowsService != nil && !a.config.KnowsService(beat.Service) {
		// It would take the address of the worker that is beside this node.
		return workers.ErrInvalid.New("there is no service %q", beat.Service)
	}
	change, err := a.config.Workers.Heartbeat(beat, time.Now())
	if err != nil {
		return err
	}
	a.changed(ctx, change, "heartbeat")
	return nil
}

// Reject tells of a call to the node's address for workers that cannot be used. Lines are
// bounded: whoever writes there by mistake mostly does so for long.
func (a *Agent) Reject(instance string, err error) {
	a.documents.returns.rejected.Add(1)
	if a.rejections.Allow() {
		a.config.Events.HeartbeatRejected(instance[:min(len(instance), longestLoggedName)], err)
	}
}

// rejectEntry tells of an entry in the store that is no node's, within the same bound.
func (a *Agent) rejectEntry(id string) {
	a.documents.returns.rejected.Add(1)
	if a.rejections.Allow() {
		a.config.Events.EntryRejected(id[:min(len(id), longestLoggedName)])
	}
}

// introduced takes that a worker has told who it is.
func (a *Agent) introduced(ctx context.Context, change workers.Change) {
	a.changed(ctx, change, "asked at the start")
}

// Leave takes a worker's sign-off, like Heartbeat.
func (a *Agent) Leave(ctx context.Context, life workers.Incarnation) error {
	change, err := a.config.Workers.Leave(life, time.Now())
	if err != nil {
		return err
	}
	a.changed(ctx, change, "sign-off")
	return nil
}

func (a *Agent) changed(ctx context.Context, change workers.Change, cause string) {
	if !change.Changed {
		return
	}
	a.refreshWorkers()
	a.config.Events.WorkerChanged(change.Worker, cause)
	if !change.Worker.State.DrainCommitted() {
		a.background(a.spreadRecord)
		return
	}
	holders, stored := a.promise(ctx)
	a.config.Events.DrainCommitmentHeld(change.Worker.Instance, holders, stored)
}

// promise tells other nodes of the own record, and the store. It returns once
// enough nodes hold it and the store has answered, or the time for that is over:
// the nodes outlast this one, the store outlasts all nodes.
func (a *Agent) promise(ctx context.Context) (holders int, stored bool) {
	kept := promiseKeepers{wanted: min(promiseHolders, len(a.peers.reachablePeers()))}
	kept.taken = make(chan struct{}, promiseHolders)
	kept.told = make(chan struct{})
	kept.stored = make(chan bool, 1)
	a.background(a.spreadRecord)
	a.background(func(ctx context.Context) {
		a.peers.Replicate(ctx, a.ownRecord(), kept.wanted, func() { kept.taken <- struct{}{} })
		close(kept.told)
	})
	a.background(func(ctx context.Context) { kept.stored <- a.announcer.PersistEntry(ctx) == nil })
	return kept.wait(ctx, a.config.Table.View().Self().ReadsStore)
}

// promiseKeepers are those who are told of a promise before it is acknowledged.
type promiseKeepers struct {
	// wanted is how many other nodes are enough.
	wanted int
	// taken gets a token for each node that holds the promise; told is closed when
	// no further one can come.
	taken chan struct{}
	told  chan struct{}
	// stored gets whether the store holds the promise.
	stored chan bool
}

// wait waits for enough keepers, at most for promiseBound. A store that this node
// does not reach is not waited for.
func (k *promiseKeepers) wait(ctx context.Context, reachesStore bool) (holders int, stored bool) {
	bound := time.NewTimer(promiseBound)
	defer bound.Stop()
	answered, told := !reachesStore, false
	for !answered || holders < k.wanted && !told {
		select {
		case <-k.taken:
			holders++
		case <-k.told:
			k.told, told = nil, true
			holders += len(k.taken)
		case stored = <-k.stored:
			answered = true
		case <-bound.C:
			return holders, stored
		case <-ctx.Done():
			return holders, stored
		}
	}
	return holders, stored
}
