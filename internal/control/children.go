package control

import (
	"slices"
	"time"

	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/rollout"
)

// child is a node that polls this one for updates.
type child struct {
	record membership.Record
	// polls counts the polls that are currently held open.
	polls int
	// lastPollAt is when the last poll ended.
	lastPollAt time.Time
	// disconnected is set when the last poll was broken off, omitted when the
	// child was therefore left out of a report to the parent.
	disconnected, omitted bool
	// sequence is the sequence number of the newest report applied.
	sequence  uint64
	readiness rollout.Readiness
	reported  bool
	// handle identifies request, the last full request answered, so that the
	// child can repeat it without sending it again.
	handle  uint64
	request *controlpb.WatchRequest
}

// children are the nodes that poll this one, and the nodes below those.
type children struct {
	byID map[string]*child
	// via maps a node further below to the child that reported it.
	via map[string]string
}

func newChildren() children {
	return children{
		byID: make(map[string]*child),
		via:  make(map[string]string),
	}
}

func (c *children) ids() []string {
	ids := make([]string, 0, len(c.byID))
	for id := range c.byID {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// below reports whether a node is a child or was reported by one.
func (c *children) below(id string) bool {
	if _, isChild := c.byID[id]; isChild {
		return true
	}
	_, further := c.via[id]
	return further
}

// attach records a child's own member record and returns its entry, and whether
// the attachment is new. A new attachment starts a new sequence of reports.
func (c *children) attach(record membership.Record) (entry *child, attachedNow bool) {
	delete(c.via, record.ID)
	held, found := c.byID[record.ID]
	attachedNow = !found || held.record.Incarnation != record.Incarnation || held.record.Attachment != record.Attachment
	if attachedNow {
		held = &child{}
		c.byID[record.ID] = held
	}
	held.record = record
	return held, attachedNow
}

// addDescendants records which child reported nodes further below. It returns
// the records that were not known to be below before, and the identifiers of
// nodes that were below a child which has moved. Those are dropped because, if
// they are not reported again, nothing else would ever remove their entries.
func (c *children) addDescendants(through string, records []membership.Record) (added []membership.Record, dropped []string) {
	var moved []string
	for _, record := range records {
		if held, isChild := c.byID[record.ID]; isChild {
			if !record.Supersedes(held.record) {
				continue
			}
			delete(c.byID, record.ID)
			moved = append(moved, record.ID)
			added = append(added, record)
		}
		if record.State == membership.StateLost {
			delete(c.via, record.ID)
			continue
		}
		if _, known := c.via[record.ID]; !known {
			added = append(added, record)
		}
		c.via[record.ID] = through
	}
	for _, id := range moved {
		dropped = append(dropped, c.removeAllDescendants(id)...)
	}
	return added, dropped
}

// removeDescendants removes nodes that a child no longer has below it, and
// returns those that were recorded under that child.
func (c *children) removeDescendants(through string, ids []string) []string {
	var dropped []string
	for _, id := range ids {
		if c.via[id] == through {
			delete(c.via, id)
			dropped = append(dropped, id)
		}
	}
	return dropped
}

// retainDescendants removes all nodes recorded under a child that are missing
// from its first report under a new attachment, which names every node below it.
// Nodes that a child lost between two attachments to the same parent are not
// reported in any other way.
func (c *children) retainDescendants(through string, named []membership.Record) []string {
	kept := make(map[string]struct{}, len(named))
	for _, record := range named {
		kept[record.ID] = struct{}{}
	}
	var gone []string
	for id, childID := range c.via {
		if _, isKept := kept[id]; childID == through && !isKept {
			gone = append(gone, id)
		}
	}
	return c.removeDescendants(through, gone)
}

// removeMoved removes a node further below that has attached to a parent
// elsewhere, and reports whether it was recorded.
func (c *children) removeMoved(record membership.Record) bool {
	_, known := c.via[record.ID]
	delete(c.via, record.ID)
	return known
}

// remove removes a child and returns the nodes that were recorded under it.
func (c *children) remove(id string) []string {
	delete(c.byID, id)
	return c.removeAllDescendants(id)
}

// removeAllDescendants removes the nodes that were recorded under one child and
// returns them.
func (c *children) removeAllDescendants(id string) []string {
	var dropped []string
	for below, through := range c.via {
		if through == id {
			delete(c.via, below)
			dropped = append(dropped, below)
		}
	}
	return dropped
}

// readiness merges the readiness that the connected children reported.
func (c *children) readiness() rollout.Readiness {
	var sum rollout.Readiness
	for _, held := range c.byID {
		if held.reported && !held.disconnected {
			sum = rollout.MergeReadiness(sum, held.readiness)
		}
	}
	return sum
}

// allReported reports whether the report of every connected child concerns the
// versions of this head and is complete.
func (c *children) allReported(head rollout.Head) bool {
	for _, held := range c.byID {
		if held.disconnected {
			continue
		}
		if !held.reported || held.readiness.Proposed != head.Proposed || held.readiness.Committed != head.Committed {
			return false
		}
		if head.Proposed != 0 && held.readiness.Ready.Count == 0 && len(held.readiness.Refused) == 0 {
			return false
		}
	}
	return true
}

// pollBegan and pollEnded track a child's polls. After a broken-off poll the
// child's readiness is left out of the sum, because the child may report to
// another parent.
func (c *child) pollBegan() {
	c.polls++
	c.disconnected = false
}

func (c *child) pollEnded(at time.Time, brokeOff bool) {
	c.polls--
	c.lastPollAt = at
	if brokeOff && c.polls == 0 {
		c.disconnected = true
	}
}

// expireChildren marks children as lost that have not polled within
// Config.LossBound. It returns when the next child expires.
func (n *Node) expireChildren(at time.Time) (next time.Time) {
	for id, held := range n.children.byID {
		if held.polls > 0 {
			continue
		}
		deadline := held.lastPollAt.Add(n.config.LossBound)
		if at.Before(deadline) {
			next = sooner(next, deadline)
			continue
		}
		n.reportDetached(n.children.remove(id), at)
		n.expireChild(held.record, at)
	}
	return next
}

// expireChild marks a child as lost, unless it has attached to another parent.
func (n *Node) expireChild(record membership.Record, at time.Time) {
	newest, found := n.table.Get(record.ID)
	moved := found && newest.Supersedes(record) && newest.State != membership.StateLost
	if !moved {
		n.markLost(record, at)
		return
	}
	if !n.children.below(record.ID) {
		n.reportDetached([]string{record.ID}, at)
	}
}

// reportDetached reports to the parent that nodes are no longer below this one.
// The root, which every live node is below, waits for them to reappear elsewhere.
func (n *Node) reportDetached(ids []string, at time.Time) {
	if len(ids) == 0 {
		return
	}
	if n.upstream.root {
		n.outsideTree.expect(ids, at.Add(n.config.SubtreeLossBound))
		return
	}
	n.reports.addDetached(ids, at)
}

// markLost announces that a node is lost, unless a newer record of it is known.
func (n *Node) markLost(record membership.Record, at time.Time) {
	if record.State == membership.StateLost || record.ID == n.self.ID {
		return
	}
	record.State = membership.StateLost
	if len(n.mergeBelow(at, record)) > 0 {
		n.events.MemberLost(record.ID)
	}
	n.reports.readinessChanged(at, n.reportsComplete())
}

// sooner returns the earlier of two times. The zero time means never.
func sooner(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
