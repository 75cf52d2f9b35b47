package control

import (
	"time"

	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/snapshot"
)

// directoryAnswer is the member update for a child.
type directoryAnswer struct {
	cursor   *controlpb.DirectoryCursor
	complete bool
	records  []membership.Record
}

// hasDirectoryUpdate reports whether published member changes await a child.
func (n *Node) hasDirectoryUpdate(request *controlpb.WatchRequest) bool {
	cursor := request.GetCursor()
	if !n.ownCursor(cursor) {
		return true
	}
	if request.GetScope().GetAll() {
		return cursor.GetSequence() < n.table.published
	}
	directory, found := n.table.scoped[requestedScope(request)]
	return !found || cursor.GetSequence() < directory.published
}

// ownCursor reports whether a cursor refers to this node's current table.
func (n *Node) ownCursor(cursor *controlpb.DirectoryCursor) bool {
	return cursor.GetRelay() == n.self.ID && cursor.GetIncarnation() == n.table.epoch
}

// directoryAnswer returns the members that a child lacks.
func (n *Node) directoryAnswer(request *controlpb.WatchRequest) directoryAnswer {
	if request.GetScope().GetAll() {
		return n.completeDirectoryAnswer(request.GetCursor())
	}
	return n.scopedDirectoryAnswer(request)
}

func (n *Node) completeDirectoryAnswer(cursor *controlpb.DirectoryCursor) directoryAnswer {
	answer := directoryAnswer{cursor: n.cursorAt(n.table.Sequence())}
	switch {
	case n.ownCursor(cursor):
		answer.records, _ = n.table.Since(cursor.GetSequence())
	case sumOf(cursor.GetSum()) == n.table.presentSum(nil):
	default:
		answer.complete = true
		answer.records = n.table.records()
	}
	return answer
}

func (n *Node) scopedDirectoryAnswer(request *controlpb.WatchRequest) directoryAnswer {
	cursor := request.GetCursor()
	directory := n.scopedDirectory(request)
	answer := directoryAnswer{cursor: n.cursorAt(directory.sequence)}
	switch {
	case n.ownCursor(cursor):
		answer.records = directory.since(cursor.GetSequence())
	case sumOf(cursor.GetSum()) == directory.presentSum():
	default:
		answer.complete = true
		answer.records = directory.since(0)
	}
	return answer
}

func (n *Node) cursorAt(sequence uint64) *controlpb.DirectoryCursor {
	return &controlpb.DirectoryCursor{Relay: n.self.ID, Incarnation: n.table.epoch, Sequence: sequence}
}

// scopedDirectory returns the directory of a child's scope, brought up to date.
func (n *Node) scopedDirectory(request *controlpb.WatchRequest) *scopedDirectory {
	scope := requestedScope(request)
	directory, found := n.table.scoped[scope]
	if !found {
		directory = newScopedDirectory(scope)
		n.table.scoped[scope] = directory
	}
	directory.update(n.table, n.latestComplete(), n.zoneLeaders())
	if !found {
		directory.published = directory.sequence
	}
	return directory
}

func requestedScope(request *controlpb.WatchRequest) directoryScope {
	return directoryScope{
		region:  request.GetSelf().GetRegion(),
		zone:    request.GetSelf().GetZone(),
		service: request.GetScope().GetService(),
	}
}

// publishDirectory publishes changed members to children and to the rest of the
// process, once that is due.
func (n *Node) publishDirectory(at time.Time) {
	if !n.table.flush(at) {
		return
	}
	n.directory.Store(n.table.View())
	n.observers.wake()
	for _, directory := range n.table.scoped {
		directory.update(n.table, n.latestComplete(), n.zoneLeaders())
		directory.published = directory.sequence
	}
	n.waiters.wake()
}

// latestComplete returns the newest snapshot that holds every resource, or nil.
func (n *Node) latestComplete() *snapshot.Snapshot {
	if !n.feed.scope.All {
		return nil
	}
	latest, _ := n.feed.history.Latest()
	return latest
}

// zoneLeaders returns the leaders of all zones, computed once for each view.
func (n *Node) zoneLeaders() map[string]struct{} {
	view := n.table.View()
	if n.plan.leadersView != view {
		n.plan.leaders, n.plan.leadersView = leadersOf(view), view
	}
	return n.plan.leaders
}

// directoryUpdate converts an answer to its message.
func directoryUpdate(answer directoryAnswer) (*controlpb.DirectoryUpdate, error) {
	plain, packed, err := packMembers(answer.records)
	if err != nil {
		return nil, err
	}
	return &controlpb.DirectoryUpdate{
		Cursor:  answer.cursor,
		Whole:   answer.complete,
		Members: plain,
		Packed:  packed,
	}, nil
}

// mergeBelow merges records of this node and of nodes below it, which are
// forwarded to the parent and to the other children.
func (n *Node) mergeBelow(at time.Time, records ...membership.Record) []membership.Record {
	return n.mergeAndReport(at, true, records)
}

// mergeOutside merges records of nodes outside the subtree that the parent may
// not know.
func (n *Node) mergeOutside(at time.Time, records ...membership.Record) []membership.Record {
	return n.mergeAndReport(at, false, records)
}

func (n *Node) mergeAndReport(at time.Time, below bool, records []membership.Record) []membership.Record {
	changed := n.table.Merge(records...)
	if len(changed) == 0 {
		return nil
	}
	for _, record := range changed {
		n.reports.addMember(reportedMember{record: record, below: below}, at)
	}
	n.membersChanged(changed, at)
	return changed
}

// mergeFromParent merges records received from the parent.
func (n *Node) mergeFromParent(at time.Time, update *controlpb.DirectoryUpdate, records []membership.Record) {
	if update.GetWhole() {
		n.adoptComplete(records, at)
	}
	changed := n.table.Merge(records...)
	if len(changed) == 0 {
		return
	}
	var moved []string
	for _, record := range changed {
		if n.children.removeMoved(record) {
			moved = append(moved, record.ID)
		}
	}
	n.reportDetached(moved, at)
	n.membersChanged(changed, at)
}

// adoptComplete prepares the table for a complete directory from the parent.
// Records missing from it are dropped, and losses that only this node recorded
// are revoked, except for the node itself and nodes below it. Attachments that
// the parent does not know are reported to it.
func (n *Node) adoptComplete(records []membership.Record, at time.Time) {
	named := make(map[string]membership.Record, len(records))
	for _, record := range records {
		named[record.ID] = record
	}
	var kept []membership.Record
	for held := range n.table.View().All() {
		record, isNamed := named[held.ID]
		switch {
		case held.ID == n.self.ID || n.children.below(held.ID):
			kept = append(kept, *held)
		case !isNamed || onlyLostHere(held, record):
		default:
			kept = append(kept, *held)
			if held.Supersedes(record) {
				n.reports.addMember(reportedMember{record: *held}, at)
			}
		}
	}
	n.keepOnly(kept)
}

// revokeLosses drops losses that this node recorded and that another tree, which
// it has just found, contradicts.
func (n *Node) revokeLosses(records []membership.Record) {
	named := make(map[string]membership.Record, len(records))
	for _, record := range records {
		named[record.ID] = record
	}
	var kept []membership.Record
	for held := range n.table.View().All() {
		record, isNamed := named[held.ID]
		if !isNamed || !onlyLostHere(held, record) {
			kept = append(kept, *held)
		}
	}
	n.keepOnly(kept)
}

// onlyLostHere reports whether a node is lost here and is not lost elsewhere
// under the same attachment.
func onlyLostHere(held *membership.Record, elsewhere membership.Record) bool {
	sameAttachment := held.Incarnation == elsewhere.Incarnation && held.Attachment == elsewhere.Attachment
	return sameAttachment && held.State == membership.StateLost && elsewhere.State != membership.StateLost
}

// keepOnly drops all records except those given.
func (n *Node) keepOnly(kept []membership.Record) {
	if len(kept) < n.table.Len() {
		n.table.replace(kept)
	}
}

// membersChanged schedules the publication of changed records and a new plan,
// and refutes wrong records of this node.
func (n *Node) membersChanged(changed []membership.Record, at time.Time) {
	n.table.changed(changed, at)
	n.plan.invalidate(at)
	n.refute(changed, at)
	n.kick()
}

// refute reattaches the node under a higher attachment number when a record
// supersedes its own: one that marks it as lost, or one of another process of
// the same name.
func (n *Node) refute(changed []membership.Record, at time.Time) {
	for _, record := range changed {
		if record.ID != n.self.ID || !record.Supersedes(n.self) {
			continue
		}
		if record.Incarnation > n.self.Incarnation {
			n.alarm("another process uses the name of this node, or its clock went back")
			n.self.Incarnation = record.Incarnation + 1
		}
		n.self.Attachment = record.Attachment
		n.discovery.reset()
		n.reattach()
	}
}

// announceSelf merges and forwards the node's own changed record.
func (n *Node) announceSelf() {
	n.mergeBelow(now(), n.self)
}

// ownSum returns the sum from which a new parent sees whether this node knows
// the same members.
func (n *Node) ownSum() rollout.MemberSum { return n.table.presentSum(nil) }
