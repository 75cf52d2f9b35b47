package control

import (
	"time"

	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/snapshot"
)

// directoryAnswer is what a child is to be told of the members.
type directoryAnswer struct {
	cursor  *controlpb.DirectoryCursor
	whole   bool
	records []membership.Record
}

// directoryNews reports whether a child has to be woken for changed members.
func (n *Node) directoryNews(request *controlpb.WatchRequest) bool {
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

// ownCursor reports whether a cursor speaks of this node's present table.
func (n *Node) ownCursor(cursor *controlpb.DirectoryCursor) bool {
	return cursor.GetRelay() == n.self.ID && cursor.GetIncarnation() == n.table.epoch
}

// directoryAnswer gives a child what it lacks.
func (n *Node) directoryAnswer(request *controlpb.WatchRequest) directoryAnswer {
	if request.GetScope().GetAll() {
		return n.wholeDirectoryAnswer(request.GetCursor())
	}
	return n.scopedDirectoryAnswer(request)
}

func (n *Node) wholeDirectoryAnswer(cursor *controlpb.DirectoryCursor) directoryAnswer {
	answer := directoryAnswer{cursor: n.cursorAt(n.table.Sequence())}
	switch {
	case n.ownCursor(cursor):
		answer.records, _ = n.table.Since(cursor.GetSequence())
	case sumOf(cursor.GetSum()) == n.table.presentSum(nil):
	default:
		answer.whole = true
		answer.records = n.table.present()
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
		answer.whole = true
		answer.records = directory.present()
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
	directory.update(n.table, n.latestWhole(), n.zoneLeaders())
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

// publishDirectory lets children hear of what has changed, once that is due.
func (n *Node) publishDirectory(at time.Time) {
	if !n.table.flush(at) {
		return
	}
	for _, directory := range n.table.scoped {
		directory.update(n.table, n.latestWhole(), n.zoneLeaders())
		directory.published = directory.sequence
	}
	n.waiters.wake()
}

// latestWhole returns the newest snapshot that holds everything, or nil.
func (n *Node) latestWhole() *snapshot.Snapshot {
	if !n.feed.scope.All {
		return nil
	}
	latest, _ := n.feed.history.Latest()
	return latest
}

// zoneLeaders returns the leaders of all zones, worked out once for each view.
func (n *Node) zoneLeaders() map[string]struct{} {
	view := n.table.View()
	if n.plan.leadersView != view {
		n.plan.leaders, n.plan.leadersView = leadersOf(view), view
	}
	return n.plan.leaders
}

// directoryUpdate turns an answer into its message.
func directoryUpdate(answer directoryAnswer) (*controlpb.DirectoryUpdate, error) {
	plain, packed, err := packMembers(answer.records)
	if err != nil {
		return nil, err
	}
	return &controlpb.DirectoryUpdate{
		Cursor:  answer.cursor,
		Whole:   answer.whole,
		Members: plain,
		Packed:  packed,
	}, nil
}

// mergeBelow takes in records that came from a child or arose here: they go on
// to the parent and to the other children.
func (n *Node) mergeBelow(at time.Time, records ...membership.Record) []membership.Record {
	changed := n.table.Merge(records...)
	if len(changed) == 0 {
		return nil
	}
	for _, record := range changed {
		n.reports.addMember(record, at)
	}
	n.membersChanged(changed, at)
	return changed
}

// mergeAbove takes in records that came from the parent.
func (n *Node) mergeAbove(at time.Time, update *controlpb.DirectoryUpdate, records []membership.Record) {
	if update.GetWhole() {
		n.dropAbsent(records)
	}
	changed := n.table.Merge(records...)
	if len(changed) == 0 {
		return
	}
	for _, record := range changed {
		n.children.seenElsewhere(record)
	}
	n.membersChanged(changed, at)
}

// dropAbsent removes records that a whole directory does not hold, unless they
// are the node's own or were learned from its children.
func (n *Node) dropAbsent(records []membership.Record) {
	named := make(map[string]struct{}, len(records))
	for _, record := range records {
		named[record.ID] = struct{}{}
	}
	var kept []membership.Record
	dropped := false
	for record := range n.table.View().All() {
		_, isNamed := named[record.ID]
		if isNamed || record.ID == n.self.ID || n.children.below(record.ID) {
			kept = append(kept, *record)
			continue
		}
		dropped = true
	}
	if dropped {
		n.table.replace(kept)
	}
}

// membersChanged does what follows from changed records.
func (n *Node) membersChanged(changed []membership.Record, at time.Time) {
	n.table.changed(changed, at)
	n.plan.invalidate(at)
	n.refute(changed, at)
	n.directory.Store(n.table.View())
	n.observers.wake()
	n.kick()
}

// refute answers records that call this node lost, or that come from an
// earlier process of the same name.
func (n *Node) refute(changed []membership.Record, at time.Time) {
	for _, record := range changed {
		if record.ID != n.self.ID || !record.Supersedes(n.self) {
			continue
		}
		if record.Incarnation > n.self.Incarnation {
			n.alarm("another process uses the name of this node, or its clock went back")
			n.self.Incarnation = record.Incarnation + 1
		}
		n.self.Attachment = record.Attachment + 1
		n.announceSelf()
		n.upstream.interrupt()
	}
}

// announceSelf passes the node's own changed record on.
func (n *Node) announceSelf() {
	n.mergeBelow(now(), n.self)
}

// ownSum is the sum that tells a new parent which members are known here.
func (n *Node) ownSum() rollout.MemberSum { return n.table.presentSum(nil) }
