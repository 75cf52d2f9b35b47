package control

import (
	"time"

	"github.com/levertide/levertide/pkg/membership"
)

// strangerBound is how long a live member may stay outside the tree of the
// root before the root calls it lost. A member that did not answer the root
// itself has only the bound of a child.
const strangerBound = 8 * time.Second

// strangerPeriod is how often a root looks for such members.
const strangerPeriod = time.Second

// strangers are the members that a root knows and that are not below it.
type strangers struct {
	since  map[string]time.Time
	lookAt time.Time
}

// expireStrangers marks members as lost that are in nobody's tree: every tree
// has a root, and below the only root is everybody who is alive.
func (n *Node) expireStrangers(at time.Time) time.Time {
	state := &n.strangers
	if !n.upstream.root {
		state.since, state.lookAt = nil, time.Time{}
		return time.Time{}
	}
	if at.Before(state.lookAt) {
		return state.lookAt
	}
	state.lookAt = at.Add(strangerPeriod)
	current := make(map[string]time.Time)
	for record := range n.table.View().All() {
		if record.State == membership.StateLost || record.ID == n.self.ID || n.children.below(record.ID) {
			continue
		}
		first, known := state.since[record.ID]
		if !known {
			first = at
		}
		current[record.ID] = first
	}
	state.since = current
	for id, first := range current {
		n.expireStranger(id, first, at)
	}
	return state.lookAt
}

func (n *Node) expireStranger(id string, first, at time.Time) {
	bound := strangerBound
	if n.plan.suspected(id, at) {
		bound = n.config.LossBound
	}
	if at.Sub(first) < bound {
		return
	}
	if record, found := n.table.Get(id); found {
		delete(n.strangers.since, id)
		n.markLost(record, at)
	}
}
