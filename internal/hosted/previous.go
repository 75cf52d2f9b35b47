package hosted

import (
	"context"
	"slices"
	"time"

	"github.com/levertide/levertide/internal/exchangepb"
	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/workers"
)

// A node that starts may have made drain commitments in a previous incarnation. It gives work to no
// worker before it knows them: from nodes that have held a record of that incarnation, or from the
// store.

const (
	// previousBound is how long a starting node waits for others to report the drain commitments of
	// its previous incarnation.
	previousBound = 800 * time.Millisecond
	// recallBound is how long a node waits for the store's answer when none of the nodes that it
	// has asked knows a previous incarnation: all of them have just started, too, or the node is
	// new.
	recallBound = 1500 * time.Millisecond
	// firstQueries is how many nodes a starting node asks at once, the hub of its zone among them.
	// It exchanges records with firstExchanges of them only, the hub before others: when all nodes
	// of a mesh of 985 start at once, each of those that the store lists is asked by 55 others,
	// five of six in other zones, and the hubs deliver all records anyway.
	firstQueries   = 3
	firstExchanges = 1
)

// contactListed adds the nodes that the store lists and asks some of them. The parameter named is
// set when the store lists this node, too.
func (a *Agent) contactListed(ctx context.Context, nodes []fleet.Node, named bool) {
	a.listed.Store(true)
	a.peers.mergeRecords(nodes)
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

// isZoneHub reports whether this node, listed by the store, is the hub of its zone among all listed
// nodes: the others of the zone ask it first.
func isZoneHub(others []*fleet.Node, self *fleet.Node) bool {
	return fleet.Hub(append(inZone(others, self.Zone), self)) == self
}

// inZone returns the nodes that are in a zone.
func inZone(nodes []*fleet.Node, zone string) []*fleet.Node {
	return slices.DeleteFunc(slices.Clone(nodes), func(n *fleet.Node) bool { return n.Zone != zone })
}

// firstToQuery returns the nodes that are asked first: the hub of the own zone and some of those
// that the store lists. All nodes of the zone ask the hub when a whole mesh starts, so that the hub
// knows them first, and they learn of each other from it.
func (a *Agent) firstToQuery(named []*fleet.Node) []*fleet.Node {
	asked := pickRandom(named, firstQueries)
	hub := fleet.Hub(inZone(named, a.config.Table.View().Self().Zone))
	if hub == nil {
		return asked
	}
	others := slices.DeleteFunc(asked, func(n *fleet.Node) bool { return n == hub })
	return append([]*fleet.Node{hub}, others[:min(len(others), firstQueries-1)]...)
}

// onContact is called when another node has contacted this one. A node that has just started and
// cannot read the store learns from that node, including which others to ask. A node to which the
// store has listed others asks those instead: when all nodes start at once, each is contacted by
// some. One whose record nobody has got sends it to those that it learns of.
func (a *Agent) onContact(id string) {
	node, known := a.config.Table.View().Node(id)
	if known && a.unheard.CompareAndSwap(true, false) {
		a.background(func(ctx context.Context) {
			a.peers.Sync(ctx, node)
			a.spreadRecord(ctx)
		})
	}
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

// queryPeers asks nodes what they know of this one, and waits for all of them: a single one may
// have been restarted just now and lack a drain commitment that others hold. With the first
// firstExchanges of them it also exchanges records. Nodes that do not answer in time are lost or
// have just started themselves.
func (a *Agent) queryPeers(ctx context.Context, nodes []*fleet.Node) {
	bounded, cancel := context.WithTimeout(ctx, previousBound)
	defer cancel()
	answers := a.peers.group()
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

// learnPrevious adopts what previous incarnations of this node have left with other nodes.
func (a *Agent) learnPrevious(merged fleet.Merged, drainCommitted []*exchangepb.Worker) {
	previous := workersOf(drainCommitted)
	own := a.config.Table.View().Self().Incarnation
	switch {
	case merged.PreviousSelf != nil && merged.PreviousSelf.Incarnation == own:
		// Another program has changed a record of this incarnation.
		a.supersede(*merged.PreviousSelf)
	case merged.PreviousSelf != nil:
		a.supersede(*merged.PreviousSelf)
		previous = append(previous, merged.PreviousSelf.Workers...)
		a.evidence.takePrevious(*merged.PreviousSelf)
		a.config.Events.PreviousIncarnationFound(merged.PreviousSelf.Incarnation, len(drainCommitted))
	}
	if time.Since(a.started) > workers.CommitmentRetention {
		// Other nodes remember them for longer than they matter.
		return
	}
	changed := a.config.Workers.Learn(previous, time.Now())
	if len(changed) > 0 {
		a.refreshWorkers()
	}
	for _, worker := range changed {
		a.config.Events.WorkerChanged(worker, "drain commitment of a previous incarnation")
	}
}

// supersede gives this node a later incarnation than a record under its name has. Others that have
// taken that record reach this node again once they have its own.
func (a *Agent) supersede(n fleet.Node) {
	if !n.NewerThan(a.config.Table.View().Self()) {
		return
	}
	a.config.Table.SupersedePrevious(n)
	if !a.retaken.Allow() {
		return
	}
	a.background(a.spreadRecord)
	if a.announcer.hasWritten() {
		a.announcer.writeSoon()
	}
}

// learnFromEntry adopts the drain commitments in an entry of the store. The entry may also be one
// of this incarnation whose write arrived late.
func (a *Agent) learnFromEntry(previous fleet.Node) {
	if previous.Incarnation == a.config.Table.View().Self().Incarnation {
		return
	}
	drainCommitted := drainCommittedOnly(previous.Workers)
	a.learnPrevious(fleet.Merged{PreviousSelf: &previous}, workerMessages(drainCommitted))
}

// markCommitmentsKnown lets the workers be given work: the drain commitments of previous
// incarnations are known as far as they can be.
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
	var drainCommitted []workers.Worker
	for _, worker := range list {
		if worker.State.DrainCommitted() {
			drainCommitted = append(drainCommitted, worker)
		}
	}
	return drainCommitted
}
