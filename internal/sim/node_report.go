package sim

import (
	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/rollout"
)

type reportRequest struct {
	node        string
	incarnation uint64
	attachment  uint64
	sequence    uint64
	readiness   rollout.Readiness
	members     []membership.Record
}

// reportedVersions are the highest versions that children have reported.
type reportedVersions struct{ committed, proposed rollout.Version }

// readiness merges the readiness of the node and of its children.
func (a *agent) readiness() rollout.Readiness {
	state := a.participant.State()
	var sum rollout.Readiness
	if a.self.State == membership.StateLive {
		sum = state.Readiness(a.node.id, a.node.incarnation)
	}
	for _, id := range sortedKeys(a.children) {
		sum = rollout.MergeReadiness(sum, a.children[id].readiness)
	}
	return sum
}

// report sends the merged readiness and changed member records to the parent if
// something has changed.
func (a *agent) report() {
	parent := a.upstream.parent
	if parent == nil || !a.upstream.dirty {
		return
	}
	a.upstream.dirty = false
	a.upstream.reportSequence++
	members, cursor := a.table.Since(a.upstream.reported)
	request := reportRequest{
		node: a.node.id, incarnation: a.node.incarnation, attachment: a.upstream.attached,
		sequence: a.upstream.reportSequence, readiness: a.readiness(), members: members,
	}
	generation := a.upstream.generation
	a.world.network.call(a.node, parent, "report", callTimeout,
		func(answer func(any)) { answer(parent.agent.serveReport(request)) },
		func(reply any, err error) {
			if a.upstream.generation != generation {
				return
			}
			if err != nil || !reply.(bool) {
				a.upstream.dirty = true
				return
			}
			a.upstream.reported = max(a.upstream.reported, cursor)
		})
}

// serveReport processes the report of a child. It returns whether the child is
// attached here under the attachment number of the request.
func (a *agent) serveReport(request reportRequest) (attached bool) {
	a.learn(request.members)
	known := a.children[request.node]
	if known == nil || known.attachment != request.attachment || known.incarnation != request.incarnation {
		return false
	}
	known.heardAt = a.world.scheduler.now
	if request.sequence > known.reportSequence {
		known.reportSequence = request.sequence
		known.readiness = request.readiness
		a.reported.committed = max(a.reported.committed, request.readiness.Committed)
		a.reported.proposed = max(a.reported.proposed, request.readiness.Proposed)
		a.changed()
	}
	return true
}

// checkChildren answers watches that were held for watchHold, and removes children
// that have attached elsewhere or do not report any more.
func (a *agent) checkChildren() {
	now := a.world.scheduler.now
	for _, id := range sortedKeys(a.children) {
		c := a.children[id]
		record, _ := a.table.Get(id)
		reattached := record.Incarnation > c.incarnation || record.Attachment > c.attachment
		unresponsive := now-c.heardAt > watchHold+lostAfter
		switch {
		case reattached:
			delete(a.children, id)
			a.changed()
		case unresponsive:
			delete(a.children, id)
			a.table.Merge(record.With(membership.StateLost))
			a.changed()
		case c.parked != nil && now >= c.parked.until:
			a.answerParked(c, true)
		}
	}
}
