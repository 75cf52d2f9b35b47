package sim

import (
	"fmt"
	"slices"
	"time"

	"github.com/levertide/levertide/pkg/membership"
)

// settleTime is how long after the last fault all invariants of a settled world must
// hold.
const settleTime = 45 * time.Second

// convergenceTime is how long a valid set may take to be in force on all nodes when
// no faults are injected.
const convergenceTime = 5 * time.Second

// recoverAttempts is how many further times a settling world waits for an operator to
// recover a restored store: an attempt fails when nodes reject its set.
const recoverAttempts = 3

// Settle ends all faults, runs the world for settleTime and longer, and checks what
// must hold then: the committed version is in force everywhere, nodes are
// ready and agree on the members, and every request has ended.
func (w *World) Settle() {
	w.settling = true
	w.endFaults()
	w.RunFor(settleTime)
	for range recoverAttempts {
		if w.oracle.restored {
			w.RunFor(settleTime)
		}
	}
	for w.scheduler.now-w.oracle.headAt < convergenceTime {
		w.RunFor(convergenceTime)
	}
	w.checkSettled()
	before := w.oracle.head.Committed
	w.applySet(newFileSet(w.random, w.applies.number+1, false), nil)
	w.RunFor(convergenceTime)
	if w.oracle.head.Committed == before {
		w.oracle.violate(InvariantInForce, "store", fmt.Sprintf("a sound set was not committed within %v, head %s", convergenceTime, describe(w.oracle.head)))
	}
	w.checkSettled()
	w.settling = false
}

func (w *World) endFaults() {
	clear(w.network.cut)
	w.faults.outageUntil, w.faults.slowUntil = 0, 0
	for _, n := range w.nodes {
		n.clockStep = 0
		if n.process.paused {
			n.process.resume()
		}
		w.start(n)
	}
}

func (w *World) checkSettled() {
	head := w.oracle.head
	if head.Proposed != 0 {
		w.oracle.violate(InvariantInForce, "store", fmt.Sprintf("version %d is still proposed", head.Proposed))
	}
	var all []string
	for _, n := range w.nodes {
		all = append(all, n.id)
	}
	slices.Sort(all)
	for _, n := range w.nodes {
		w.checkSettledNode(n, all)
	}
	if open := len(w.callers.open); open > 0 {
		w.oracle.checkOpen(w.callers.open)
	}
}

func (w *World) checkSettledNode(n *node, all []string) {
	head := w.oracle.head
	state := n.agent.participant.State()
	inForce := n.agent.serves.inForce
	refused := state.Refusal != nil && state.RefusedVersion == head.Committed
	switch {
	case head.Committed == 0 || refused:
	case state.Floor > head.Committed && w.oracle.restores > 0:
		w.oracle.forgotten++ // it waits for a version that a restore has lost
	case inForce == nil || inForce.Version() != head.Committed:
		w.oracle.violate(InvariantInForce, n.id, fmt.Sprintf("version %d is committed: %s", head.Committed, w.describeNode(n)))
	case !state.Ready:
		w.oracle.violate(InvariantReady, n.id, state.Reason)
	}
	var live []string
	for _, record := range n.agent.table.View().Live() {
		live = append(live, record.ID)
	}
	if !slices.Equal(live, all) {
		w.oracle.violate(InvariantMembers, n.id, fmt.Sprintf("knows %d live members of %d: %v", len(live), len(all), live))
	}
}

// describeNode describes the state of a node that has not converged.
func (w *World) describeNode(n *node) string {
	state := n.agent.participant.State()
	version := uint64(0)
	if state.InForce != nil {
		version = state.InForce.Version()
	}
	parent := "none"
	if n.agent.upstream.parent != nil {
		parent = n.agent.upstream.parent.id
	}
	return fmt.Sprintf("runs %d, head %s, reason %q, parent %s, reader %t, role %v, record %s, alarms %v",
		version, describe(state.Head), state.Reason, parent, n.agent.reader.holdsLease(),
		n.agent.plan.Role, describeRecord(n.agent.self), state.Alarms)
}

func describeRecord(record membership.Record) string {
	return fmt.Sprintf("%d.%d.%d", record.Incarnation, record.Attachment, record.State)
}

// checkOpen reports requests that have not ended although their deadline has long
// passed. Requests of a node that crashed end with it.
func (o *oracle) checkOpen(open map[int]*request) {
	for _, id := range sortedKeys(open) {
		if open[id].entry.alive {
			o.violate(InvariantEnds, fmt.Sprint("request ", id), "it has not ended")
		}
	}
	clear(open)
}
