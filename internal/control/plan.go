package control

import (
	"iter"
	"time"

	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/snapshot"
	"github.com/levertide/levertide/pkg/topology"
)

// Timing of planning.
const (
	// planPause is how long changes are collected before the plan is made again.
	planPause = 150 * time.Millisecond
	// switchPause spreads over time the moves of nodes to a better parent.
	switchPause = time.Second
	// standInPause is how long the store must have had no other reader before zone
	// relays that are not candidates try to get a reader's lease.
	standInPause = 8 * time.Second
	// maximumSuspectDoublings bounds how much longer a peer that failed repeatedly
	// stays out of the plan.
	maximumSuspectDoublings = 4
	// scopeRetention is how long a node that is no longer a relay keeps the full
	// configuration.
	scopeRetention = 30 * time.Second
	// suspectMemory is how long after its last suspicion a peer's failures are
	// still counted.
	suspectMemory = 2 * time.Minute
)

// suspicion keeps a peer out of this node's plan. It does not affect the plans
// of other nodes.
type suspicion struct {
	until    time.Time
	failures int
}

// plan is the node's place in the tree and the state that it is computed from.
type plan struct {
	assignment topology.Assignment
	made       bool
	madeAt     time.Time
	// dueAt is when the plan is to be made again; zero when nothing changed.
	dueAt time.Time
	// switchAt is when the node moves to its preferred parent; zero when it has it.
	switchAt time.Time
	suspects map[string]suspicion
	// hints are peers from the platform's machine list that no node has confirmed.
	hints map[string]topology.Peer
	// fullScopeUntil is when a node that is no longer a relay narrows its feed's scope.
	fullScopeUntil time.Time

	// unreadSince is the time since which no other node is known to read the
	// store; zero when one is.
	unreadSince time.Time

	leaders     map[string]struct{}
	leadersView *membership.View
}

func newPlan() plan {
	return plan{
		assignment: topology.Assignment{ApexIndex: topology.NotInApex},
		suspects:   make(map[string]suspicion),
		hints:      make(map[string]topology.Peer),
	}
}

// invalidate schedules a new plan after a pause.
func (p *plan) invalidate(at time.Time) {
	p.dueAt = sooner(p.dueAt, at.Add(planPause))
}

// suspect keeps a peer out of the plan for a period that doubles with each failure.
func (p *plan) suspect(id string, at time.Time, bound time.Duration) {
	held := p.suspects[id]
	if at.Sub(held.until) > suspectMemory {
		held.failures = 0
	}
	held.until = at.Add(bound << min(held.failures, maximumSuspectDoublings))
	held.failures++
	p.suspects[id] = held
	delete(p.hints, id)
	p.dueAt = at
}

// trust removes the suspicion of a peer that has answered.
func (p *plan) trust(id string) {
	if _, found := p.suspects[id]; !found {
		return
	}
	delete(p.suspects, id)
	p.invalidate(now())
}

// suspected reports whether a peer is currently kept out of the plan.
func (p *plan) suspected(id string, at time.Time) bool {
	held, found := p.suspects[id]
	return found && at.Before(held.until)
}

// expireSuspicions returns when the next suspicion ends, and schedules a new plan
// when one has ended.
func (p *plan) expireSuspicions(at time.Time) (next time.Time) {
	for id, held := range p.suspects {
		if at.Before(held.until) {
			next = sooner(next, held.until)
			continue
		}
		if at.Sub(held.until) > suspectMemory {
			delete(p.suspects, id)
		}
		if held.until.After(p.madeAt) {
			p.invalidate(at)
		}
	}
	return next
}

// peers yields every member that may have a place in the tree.
func (n *Node) peers(at time.Time) iter.Seq[topology.Peer] {
	return func(yield func(topology.Peer) bool) {
		self := n.self
		if !yield(peerOf(&self)) {
			return
		}
		for _, record := range n.table.View().Live() {
			if record.ID == n.self.ID || n.plan.suspected(record.ID, at) {
				continue
			}
			if !yield(peerOf(record)) {
				return
			}
		}
		for id, hint := range n.plan.hints {
			if _, known := n.table.Get(id); known {
				continue
			}
			if !yield(hint) {
				return
			}
		}
	}
}

func peerOf(record *membership.Record) topology.Peer {
	return topology.Peer{
		ID:             record.ID,
		Region:         record.Region,
		Zone:           record.Zone,
		ControlAddress: record.ControlAddress,
		Reader:         record.Reader,
	}
}

// replan makes the plan again if that is due.
func (n *Node) replan(at time.Time) {
	if n.plan.made && (n.plan.dueAt.IsZero() || at.Before(n.plan.dueAt)) {
		return
	}
	n.plan.made, n.plan.madeAt = true, at
	n.plan.dueAt = time.Time{}
	options := topology.Options{FanOut: n.config.FanOut}
	n.plan.assignment = topology.PlanSeq(n.self.ID, n.peers(at), options)
	if n.self.State == membership.StateLeaving {
		n.planAsLeaving(at)
	}
	n.updateScope(at)
	n.updateRole()
	n.scheduleSwitch(at)
	n.reader.setWanted(n.plan.assignment.ReaderCandidate || n.standsIn(at))
}

// standsIn reports whether this zone relay, although it is no candidate, should
// try to get a reader's lease: no other node has read the store for
// standInPause, so perhaps none of the candidates can reach it.
func (n *Node) standsIn(at time.Time) bool {
	eligible := n.versions != nil && n.plan.assignment.Rank == 0 && n.self.State == membership.StateLive
	if !eligible || n.otherReader() {
		n.plan.unreadSince = time.Time{}
		return false
	}
	if n.plan.unreadSince.IsZero() {
		n.plan.unreadSince = at
	}
	due := n.plan.unreadSince.Add(standInPause)
	if at.Before(due) {
		n.plan.dueAt = sooner(n.plan.dueAt, due)
		return false
	}
	return true
}

func (n *Node) otherReader() bool {
	for _, record := range n.table.View().Live() {
		if record.Reader && record.ID != n.self.ID {
			return true
		}
	}
	return false
}

// planAsLeaving gives up every role but that of a leaf. Other nodes no longer
// include this node in their plans, so any peer may be its parent.
func (n *Node) planAsLeaving(at time.Time) {
	assignment := &n.plan.assignment
	assignment.ReaderCandidate = false
	if len(assignment.Parents) > 0 {
		return
	}
	for peer := range n.peers(at) {
		if peer.ID != n.self.ID && len(assignment.Parents) < topology.MaxParents {
			assignment.Parents = append(assignment.Parents, peer)
		}
	}
}

// updateScope widens the feed's scope as soon as the node becomes a relay, and
// narrows it scopeRetention after the node has ceased to be one.
func (n *Node) updateScope(at time.Time) {
	if n.needsFullScope() {
		n.plan.fullScopeUntil = at.Add(scopeRetention)
	}
	wanted := n.ownScope()
	if at.Before(n.plan.fullScopeUntil) {
		wanted = snapshot.Scope{All: true}
	}
	if n.feed.scope == wanted {
		return
	}
	n.feed = n.feed.inScope(wanted, n.shared, n.head().Committed, n.head().Proposed)
	n.upstream.cursor = nil
	n.upstream.interrupt()
}

// needsFullScope reports whether other nodes may poll this one.
func (n *Node) needsFullScope() bool {
	assignment := n.plan.assignment
	return assignment.FullScope || assignment.ReaderCandidate || n.self.Reader || len(n.children.byID) > 0
}

// ownScope returns the scope that the node's own worker needs.
func (n *Node) ownScope() snapshot.Scope {
	if n.config.Gateway {
		return snapshot.Scope{All: true}
	}
	return snapshot.Scope{Service: n.config.Self.Service}
}

// scheduleSwitch decides when the node moves to its preferred parent.
func (n *Node) scheduleSwitch(at time.Time) {
	parents := n.plan.assignment.Parents
	current := n.upstream.parent.ID
	switch {
	case len(parents) == 0:
		n.plan.switchAt = time.Time{}
		if current != "" {
			n.upstream.interrupt()
		}
	case parents[0].ID == current:
		n.plan.switchAt = time.Time{}
	case current == "":
		n.upstream.interrupt()
	case !planned(parents, current):
		n.plan.switchAt = at
	case n.plan.switchAt.IsZero():
		n.plan.switchAt = at.Add(switchPause/4 + randomBelow(switchPause))
	}
}

func planned(parents []topology.Peer, id string) bool {
	for _, parent := range parents {
		if parent.ID == id {
			return true
		}
	}
	return false
}

// chooseParent returns the parent to poll now, if there is one.
func (n *Node) chooseParent(at time.Time) (topology.Peer, bool) {
	n.replan(at)
	parents := n.plan.assignment.Parents
	if len(parents) == 0 {
		return topology.Peer{}, false
	}
	staying := !n.plan.switchAt.IsZero() && at.Before(n.plan.switchAt)
	if staying {
		for _, parent := range parents {
			if parent.ID == n.upstream.parent.ID {
				return parent, true
			}
		}
	}
	n.plan.switchAt = time.Time{}
	return parents[0], true
}

// updateRole determines the node's role and reports a change.
func (n *Node) updateRole() {
	role := RoleLeaf
	switch {
	case n.coordinates():
		role = RoleCoordinator
	case n.self.Reader:
		role = RoleReader
	case n.plan.assignment.FullScope || len(n.children.byID) > 0:
		role = RoleRelay
	}
	if role == n.traffic.Role() {
		return
	}
	n.traffic.SetRole(role)
	n.events.RoleChanged(role)
}
