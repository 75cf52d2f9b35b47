package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/pkg/endpoint"
	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/store"
	"github.com/levertide/levertide/pkg/topology"
)

// Timing and limits of node discovery.
const (
	discoveryBackoffBase    = 200 * time.Millisecond
	discoveryBackoffCeiling = 4 * time.Second
	seedTimeout             = time.Second
	// machineListJitter is the first limit of the random pause before a read of
	// the platform's machine list. It spreads the reads when many nodes start at
	// once and doubles with each attempt.
	machineListJitter  = time.Second
	machineListTimeout = 3 * time.Second
	// machineListRounds is how many discovery rounds of a root pass between
	// two reads of the machine list.
	machineListRounds = 8
	// rootQueriesOutside and rootQueriesLost bound how many live nodes outside
	// its tree and how many lost nodes a root queries in one round.
	rootQueriesOutside = 3
	rootQueriesLost    = 2
)

// bootstrap finds other nodes before the first plan is made. It returns when
// another node has answered, when the machine list has been read, or when there
// is no machine list to read.
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

// askSeeds queries the seeds in a random order until one has answered.
func (n *Node) askSeeds(ctx context.Context) bool {
	for _, index := range rand.Perm(len(n.config.Seeds)) {
		if n.askMembers(ctx, endpoint.String(n.config.Seeds[index])) {
			return true
		}
	}
	return false
}

// askMembers queries one node for the members of this node's zone and the first
// members of the other zones.
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

// mergeMembers merges the member records that another node sent.
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

// readMachines adds hints from the platform's machine list. It reports whether
// the list could be read.
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

// addHints adds machines to the plan that no node has reported yet. The list
// lags behind, so a hint is dropped as soon as its machine does not answer. A
// machine whose address is none costs the list nothing else.
func (n *Node) addHints(machines []store.Machine) {
	for _, machine := range machines {
		if machine.Leaving || machine.Node == n.self.ID {
			continue
		}
		if machine.Invalid != nil {
			n.events.PeerRefused(machine.Node, machine.Invalid.Error())
			continue
		}
		n.plan.hints[machine.Node] = topology.Peer{
			ID:             machine.Node,
			Region:         machine.Region,
			Zone:           machine.Zone,
			ControlAddress: endpoint.String(machine.ControlAddress),
		}
	}
	n.plan.dueAt = now()
	n.kick()
}

// discoverAsRoot waits for a parent to become known, and then queries nodes of
// other trees that this one could join. A node that remains a root searches at
// growing intervals.
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

// discoveryTargets lists the addresses that a root queries in one round: live
// nodes outside its tree, lost nodes, and a seed.
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

// seedOutsideTree returns one random seed, or nothing if that seed is in this
// node's own tree.
func (n *Node) seedOutsideTree() []string {
	if len(n.config.Seeds) == 0 {
		return nil
	}
	seed := endpoint.String(n.config.Seeds[rand.IntN(len(n.config.Seeds))])
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
