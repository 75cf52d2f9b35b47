package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/store"
	"github.com/levertide/levertide/pkg/topology"
)

// Times and bounds of finding other nodes.
const (
	discoveryBackoffBase    = 200 * time.Millisecond
	discoveryBackoffCeiling = 4 * time.Second
	seedTimeout             = time.Second
	// machineListJitter spreads the reads of the platform's list when many
	// nodes start at once; it doubles with each attempt.
	machineListJitter  = time.Second
	machineListTimeout = 3 * time.Second
	// machineListRounds is how many rounds of a root pass between two reads.
	machineListRounds = 8
	// rootQueriesOutside and rootAsksLost bound whom a root asks in one round.
	rootQueriesOutside = 3
	rootQueriesLost    = 2
)

// bootstrap finds other nodes before the first plan is made. It returns when
// somebody is known, or when it is certain that nobody can be found.
func (n *Node) bootstrap(ctx context.Context) {
	pauses := backoff{base: machineListJitter, ceiling: discoveryBackoffCeiling}
	for ctx.Err() == nil {
		if n.askSeeds(ctx) || n.config.Machines == nil {
			break
		}
		if !sleep(ctx, pauses.next()) {
			return
		}
		if n.askSeeds(ctx) || n.readMachines(ctx) {
			break
		}
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.bootstrapped = true
	n.plan.dueAt = now()
	n.kick()
}

// askSeeds asks the seeds in a random order until one has answered.
func (n *Node) askSeeds(ctx context.Context) bool {
	for _, index := range rand.Perm(len(n.config.Seeds)) {
		if n.askMembers(ctx, n.config.Seeds[index]) {
			return true
		}
	}
	return false
}

// askMembers asks one node for the members of this node's zone and the first
// ones of others.
func (n *Node) askMembers(ctx context.Context, address string) bool {
	if address == "" || address == n.config.Self.ControlAddress {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	answer, err := n.clients.members(ctx, address, n.membersRequest())
	if err != nil {
		return false
	}
	records, err := unpackMembers(answer.GetMembers(), answer.GetPacked())
	if err != nil {
		n.events.PeerRefused(address, err.Error())
		return false
	}
	n.mergeMembers(answer.GetNode(), records)
	return true
}

// mergeMembers takes in what another node knows.
func (n *Node) mergeMembers(from string, records []membership.Record) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.plan.trust(from)
	if n.upstream.root && !n.children.below(from) {
		n.revokeLosses(records)
	}
	if changed := n.table.Merge(records...); len(changed) > 0 {
		n.membersChanged(changed, now())
	}
}

// membersRequest names this node only when it is a root: a node that has a
// parent is known through it.
func (n *Node) membersRequest() *controlpb.MembersRequest {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	request := &controlpb.MembersRequest{Region: n.self.Region, Zone: n.self.Zone}
	if n.upstream.root {
		request.Self = memberMessage(n.self)
	}
	return request
}

// readMachines takes hints from the platform's list. It reports whether the
// list could be read.
func (n *Node) readMachines(ctx context.Context) bool {
	if n.config.Machines == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, machineListTimeout)
	defer cancel()
	machines, err := n.config.Machines.Machines(ctx)
	n.recordStoreResult(err)
	if err != nil {
		return false
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.addHints(machines)
	return true
}

// addHints plans with machines that no node has told of yet. The list lags, so
// that hints are dropped as soon as they do not answer.
func (n *Node) addHints(machines []store.Machine) {
	for _, machine := range machines {
		if machine.Leaving || machine.Node == n.self.ID || !isAddress(machine.ControlAddress) {
			continue
		}
		n.plan.hints[machine.Node] = topology.Peer{
			ID:             machine.Node,
			Region:         machine.Region,
			Zone:           machine.Zone,
			ControlAddress: machine.ControlAddress,
		}
	}
	n.plan.dueAt = now()
	n.kick()
}

// discoverAsRoot waits for a parent to turn up, and looks for trees that this
// one could join. A root that stays one looks less and less often.
func (n *Node) discoverAsRoot(ctx context.Context, changed <-chan struct{}) {
	n.mutex.Lock()
	round := n.discovery.attempts
	pause := n.discovery.next()
	n.mutex.Unlock()
	before := now()
	waitFor(ctx, changed, pause)
	if ctx.Err() != nil || now().Sub(before) < pause {
		return
	}
	for _, address := range n.discoveryTargets() {
		n.askMembers(ctx, address)
	}
	if round%machineListRounds == machineListRounds-1 && n.alone() {
		n.readMachines(ctx)
	}
}

// alone reports whether no other live node is known.
func (n *Node) alone() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.table.View().Len() <= 1
}

// discoveryTargets lists whom a root asks in one round: live nodes outside its
// tree, a seed, and nodes that were lost.
func (n *Node) discoveryTargets() []string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var outside, lost []string
	for record := range n.table.View().All() {
		switch {
		case record.ID == n.self.ID || n.children.below(record.ID):
		case record.State == membership.StateLost:
			lost = append(lost, record.ControlAddress)
		default:
			outside = append(outside, record.ControlAddress)
		}
	}
	shuffle(outside)
	shuffle(lost)
	targets := outside[:min(len(outside), rootQueriesOutside)]
	targets = append(targets, lost[:min(len(lost), rootQueriesLost)]...)
	return append(targets, n.seedOutsideTree()...)
}

// seedOutsideTree returns one seed at random, unless it is in this node's own tree.
func (n *Node) seedOutsideTree() []string {
	if len(n.config.Seeds) == 0 {
		return nil
	}
	seed := n.config.Seeds[rand.IntN(len(n.config.Seeds))]
	for id := range n.children.byID {
		if record, found := n.table.Get(id); found && record.ControlAddress == seed {
			return nil
		}
	}
	for id := range n.children.via {
		if record, found := n.table.Get(id); found && record.ControlAddress == seed {
			return nil
		}
	}
	return []string{seed}
}

func shuffle[Item any](items []Item) {
	rand.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
}
