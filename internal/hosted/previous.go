package hosted

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/levertide/levertide/internal/exchangepb"
	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/workers"
)

// A node that starts may have promised, in a former life, to leave a worker alone.
// It gives work to nobody before it knows: from nodes that have held a record of
// that life, or from the store.

const (
	// previousBound is how long a starting node waits for others to tell what its
	// former life has promised.
	previousBound = 800 * time.Millisecond
	// recallBound is how long a node waits for the store to tell when no node that
	// it has met knows of a former life: all of them have just started, too, or
	// the node is new.
	recallBound = 1500 * time.Millisecond
	// firstQueries is how many nodes a starting node asks at once, the hub of its zone among
	// them. It exchanges records with firstTables of them only, the hub before others: when all
	// nodes of a mesh of 985 start at once, each of those that the store names is asked by
	// 55 others, five of six in other zones, and the hubs bring all records anyway.
	firstQueries   = 3
	firstExchanges = 1
)

// contactListed takes nodes that the store names and asks some of them. Named tells that it names
// this node, too.
func (a *Agent) contactListed(ctx context.Context, nodes []fleet.Node, named bool) {
	a.listed.Store(true)
	a.config.Table.Merge(nodes)
	a.evidence.takeRecords(nodes)
	others := make([]*fleet.Node, len(nodes))
	for i := range nodes {
		others[i] = &nodes[i]
	}
	self := a.config.Table.View().Self()
	a.zoneHub.Store(named && isZoneHub(others, &self))
	a.recordEra(a.config.Source.Era().Number)
	a.background(a.spreadRecord)
	a.queryPeers(ctx, a.firstToQuery(others))
	a.peersAskedOnce.Do(func() { close(a.peersAsked) })
}

// isZoneHub reports whether a node that the store names is the hub of its zone among all
// those: the others of the zone ask it first.
func isZoneHub(others []*fleet.Node, self *fleet.Node) bool {
	return fleet.Hub(append(inZone(others, self.Zone), self)) == self
}

// inZone returns those of the nodes that are in a zone.
func inZone(nodes []*fleet.Node, zone string) []*fleet.Node {
	return slices.DeleteFunc(slices.Clone(nodes), func(n *fleet.Node) bool { return n.Zone != zone })
}

// firstToQuery returns the nodes that are asked first: the hub of the own zone and some of
// those that the store names. All nodes of the zone ask the hub when a whole mesh
// starts, so that it knows them first, and they each other by it.
func (a *Agent) firstToQuery(named []*fleet.Node) []*fleet.Node {
	asked := pickRandom(named, firstQueries)
	hub := fleet.Hub(inZone(named, a.config.Table.View().Self().Zone))
	if hub == nil {
		return asked
	}
	others := slices.DeleteFunc(asked, func(n *fleet.Node) bool { return n == hub })
	return append([]*fleet.Node{hub}, others[:min(len(others), firstQueries-1)]...)
}

// onContact takes that another node has spoken with this one. A node that has just
// started, and cannot ask the store, learns from it, and of it who else to ask. One to which
// the store has named nodes asks those: when all nodes start at once, each hears from some.
func (a *Agent) onContact(id string) {
	node, known := a.config.Table.View().Node(id)
	asking := a.listed.Load() && time.Since(a.started) < recallBound
	if a.commitmentsKnown.Load() || asking || !known || !a.queryingContact.CompareAndSwap(false, true) {
		return
	}
	a.background(func(ctx context.Context) {
		defer a.queryingContact.Store(false)
		if !a.peers.Sync(ctx, node) {
			return
		}
		others := slices.DeleteFunc(a.peers.reachablePeers(), func(other *fleet.Node) bool { return other.ID == id })
		a.queryPeers(ctx, pickRandom(others, firstQueries))
		if time.Since(a.started) > recallBound {
			a.markCommitmentsKnown()
		}
	})
}

// queryPeers asks nodes what they know of this one, and waits for all of them: one
// alone may have been restarted just now and lack a promise that others hold. With the
// first of them it exchanges records, too.
// Those that do not answer in time are lost, or have started just now, too.
func (a *Agent) queryPeers(ctx context.Context, nodes []*fleet.Node) {
	bounded, cancel := context.WithTimeout(ctx, previousBound)
	defer cancel()
	var answers sync.WaitGroup
	for i, node := range nodes {
		answers.Go(func() {
			if i < firstExchanges {
				a.peers.Sync(bounded, *node)
			} else {
				a.peers.Handshake(bounded, *node)
			}
		})
	}
	answers.Wait()
	if a.peers.previousKnown.Load() {
		a.markCommitmentsKnown()
	}
}

// learnPrevious takes what former lives of this node have left with others.
func (a *Agent) learnPrevious(merged fleet.Merged, promised []*exchangepb.Worker) {
	previous := workersOf(promised)
	if merged.PreviousSelf != nil {
		a.config.Table.SupersedePrevious(*merged.PreviousSelf)
		previous = append(previous, merged.PreviousSelf.Workers...)
		a.evidence.takePrevious(*merged.PreviousSelf)
		a.config.Events.PreviousIncarnationFound(merged.PreviousSelf.Incarnation, len(promised))
	}
	changed := a.config.Workers.Learn(previous, time.Now())
	if len(changed) > 0 {
		a.refreshWorkers()
	}
	for _, worker := range changed {
		a.config.Events.WorkerChanged(worker, "promised by a former life")
	}
}

// learnFromEntry takes what an entry of the store tells of a former life of this node. It
// may also be one of this life, whose write arrived late.
func (a *Agent) learnFromEntry(previous fleet.Node) {
	if previous.Incarnation == a.config.Table.View().Self().Incarnation {
		return
	}
	promised := drainCommittedOnly(previous.Workers)
	a.learnPrevious(fleet.Merged{PreviousSelf: &previous}, workerMessages(promised))
}

// markCommitmentsKnown lets the workers be given work: what former lives have promised is known
// as far as it can be.
func (a *Agent) markCommitmentsKnown() {
	a.commitmentsMu.Lock()
	defer a.commitmentsMu.Unlock()
	if a.commitmentsKnown.Load() {
		return
	}
	a.config.Serving.Open()
	a.commitmentsKnown.Store(true)
	a.refreshWorkers()
	a.background(a.spreadRecord)
}

func drainCommittedOnly(list []workers.Worker) []workers.Worker {
	var promised []workers.Worker
	for _, worker := range list {
		if worker.State.DrainCommitted() {
			promised = append(promised, worker)
		}
	}
	return promised
}
