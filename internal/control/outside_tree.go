package control

import (
	"time"

	"github.com/levertide/levertide/pkg/membership"
)

// outsideTreeBound is how long a live member may stay outside the tree of the
// root before the root marks it as lost. For a member that did not answer the
// root itself, Config.LossBound applies, as for a child.
const outsideTreeBound = 8 * time.Second

// outsideTreeCheckPeriod is how often a root checks for such members.
const outsideTreeCheckPeriod = time.Second

// outsideTree holds the members that a root knows and that are not below it, with
// the time at which each is marked as lost.
type outsideTree struct {
	deadlines   map[string]time.Time
	nextCheckAt time.Time
}

// expect sets the deadline by which nodes must reappear below the root.
func (s *outsideTree) expect(ids []string, deadline time.Time) {
	if s.deadlines == nil {
		s.deadlines = make(map[string]time.Time)
	}
	for _, id := range ids {
		s.deadlines[id] = deadline
	}
}

// expireOutsideTree marks members as lost that stay outside the root's tree past
// their deadline: with a single root, every live node is below it.
func (n *Node) expireOutsideTree(at time.Time) time.Time {
	state := &n.outsideTree
	if !n.upstream.root {
		state.deadlines, state.nextCheckAt = nil, time.Time{}
		return time.Time{}
	}
	if at.Before(state.nextCheckAt) {
		return state.nextCheckAt
	}
	state.nextCheckAt = at.Add(outsideTreeCheckPeriod)
	current := make(map[string]time.Time)
	for record := range n.table.View().All() {
		if record.State == membership.StateLost || record.ID == n.self.ID || n.children.below(record.ID) {
			continue
		}
		deadline, known := state.deadlines[record.ID]
		if !known {
			deadline = at.Add(outsideTreeBound)
		}
		current[record.ID] = deadline
	}
	state.deadlines = current
	for id, deadline := range current {
		n.expireOutsideMember(id, deadline, at)
	}
	return state.nextCheckAt
}

// expireOutsideMember marks a member as lost if its deadline has passed. The
// deadline is earlier for a member that did not answer this node.
func (n *Node) expireOutsideMember(id string, deadline, at time.Time) {
	if n.plan.suspected(id, at) {
		deadline = deadline.Add(n.config.LossBound - outsideTreeBound)
	}
	if at.Before(deadline) {
		return
	}
	if record, found := n.table.Get(id); found {
		delete(n.outsideTree.deadlines, id)
		n.markLost(record, at)
	}
}
