package control

import (
	"context"
	"slices"
	"time"

	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/topology"
)

// Pauses before a report, during which changes are collected.
const (
	// reportCompletePause applies when all nodes of the subtree have reported.
	reportCompletePause = 3 * time.Millisecond
	// reportPartialPause applies while further reports of the subtree are expected.
	reportPartialPause = 50 * time.Millisecond
	// reportMemberPause applies to reports of members alone.
	reportMemberPause = 100 * time.Millisecond
	// reportMemberInterval is the least time between reports of members that
	// are neither leaving nor lost.
	reportMemberInterval = 500 * time.Millisecond
	reportRetryPause     = 100 * time.Millisecond
)

// reportState holds the changes that are still to be reported to the parent.
type reportState struct {
	// members holds the changed records by identifier.
	members map[string]reportedMember
	// detached lists nodes that are no longer below this one.
	detached []string
	// dueAt is when the next report is due; zero when there is nothing to report.
	dueAt                 time.Time
	lastSent              time.Time
	inFlight              bool
	sequence              uint64
	acknowledgedReadiness rollout.Readiness
	hasAcknowledged       bool
}

// reportedMember is a record to be reported; below is set for the record of this
// node or of a node below it.
type reportedMember struct {
	record membership.Record
	below  bool
}

func newReportState() reportState {
	return reportState{members: make(map[string]reportedMember)}
}

// addMember adds a changed record to the next report.
func (r *reportState) addMember(member reportedMember, at time.Time) {
	record := member.record
	r.members[record.ID] = member
	due := later(at.Add(reportMemberPause), r.lastSent.Add(reportMemberInterval))
	if record.State != membership.StateLive {
		due = at.Add(reportPartialPause)
	}
	r.dueAt = sooner(r.dueAt, due)
}

// addDetached adds nodes that are no longer below this one to the next report.
func (r *reportState) addDetached(ids []string, at time.Time) {
	r.detached = append(r.detached, ids...)
	r.dueAt = sooner(r.dueAt, at.Add(reportMemberPause))
}

// readinessChanged brings the next report forward.
func (r *reportState) readinessChanged(at time.Time, complete bool) {
	pause := reportPartialPause
	if complete {
		pause = reportCompletePause
	}
	r.dueAt = sooner(r.dueAt, at.Add(pause))
}

// newParent schedules a report of the complete subtree, because a new parent knows
// nothing of it.
func (r *reportState) newParent(subtree []membership.Record, at time.Time) {
	r.members = make(map[string]reportedMember, len(subtree))
	for _, record := range subtree {
		r.members[record.ID] = reportedMember{record: record, below: true}
	}
	r.detached = nil
	r.hasAcknowledged = false
	r.dueAt = at.Add(reportCompletePause)
}

// clear discards all pending changes of a node without a parent.
func (r *reportState) clear() {
	clear(r.members)
	r.detached = nil
	r.dueAt = time.Time{}
	r.hasAcknowledged = false
}

// reportCall is one report from its request to its answer.
type reportCall struct {
	parent  topology.Peer
	epoch   uint64
	members []reportedMember
	summary rollout.Readiness
	request *controlpb.ReportRequest
}

// report sends the pending changes to the parent, if a report is due. It returns
// when to check again.
func (n *Node) report(ctx context.Context, at time.Time) time.Time {
	state := &n.reports
	if n.upstream.root {
		state.clear()
		return time.Time{}
	}
	if !n.upstream.attached || state.inFlight || state.dueAt.IsZero() {
		return time.Time{}
	}
	if at.Before(state.dueAt) {
		return state.dueAt
	}
	state.dueAt = time.Time{}
	summary := n.subtreeReadiness()
	if len(state.members) == 0 && len(state.detached) == 0 && state.hasAcknowledged && equalReadiness(summary, state.acknowledgedReadiness) {
		return time.Time{}
	}
	n.startReport(ctx, summary, at)
	return time.Time{}
}

func (n *Node) startReport(ctx context.Context, summary rollout.Readiness, at time.Time) {
	state := &n.reports
	state.sequence++
	call := reportCall{parent: n.upstream.parent, epoch: n.upstream.epoch, summary: summary}
	for _, member := range state.members {
		member.below = member.below && n.stillBelow(member.record)
		call.members = append(call.members, member)
	}
	clear(state.members)
	call.request = &controlpb.ReportRequest{
		Node:           n.self.ID,
		Incarnation:    n.self.Incarnation,
		Attachment:     n.self.Attachment,
		Sequence:       state.sequence,
		Readiness:      readinessMessage(summary),
		HeadGeneration: n.head().Generation,
		Detached:       n.notBelow(state.detached),
	}
	state.detached = nil
	state.inFlight = true
	state.lastSent = at
	n.spawn(func() { n.sendReport(ctx, call) })
}

// stillBelow reports whether a record that was added as one of the subtree is to
// be reported as such. A lost node is reported as below by the node that it was
// below.
func (n *Node) stillBelow(record membership.Record) bool {
	return record.State == membership.StateLost || record.ID == n.self.ID || n.children.below(record.ID)
}

// notBelow returns those of the nodes that are not below this one now.
func (n *Node) notBelow(ids []string) []string {
	var gone []string
	for _, id := range ids {
		if !n.children.below(id) {
			gone = append(gone, id)
		}
	}
	return gone
}

func (n *Node) sendReport(ctx context.Context, call reportCall) {
	response, err := n.callReport(ctx, call)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	defer n.kick()
	state := &n.reports
	state.inFlight = false
	if call.epoch != n.upstream.epoch {
		state.dueAt = now()
		return
	}
	if err == nil && response.GetAttached() {
		state.acknowledgedReadiness, state.hasAcknowledged = call.summary, true
		return
	}
	n.requeueMembers(call.members)
	state.detached = append(state.detached, call.request.GetDetached()...)
	state.dueAt = now().Add(reportRetryPause)
	if err == nil {
		n.upstream.handle, n.upstream.acknowledged = 0, nil
		n.upstream.interrupt()
	}
}

func (n *Node) callReport(ctx context.Context, call reportCall) (*controlpb.ReportResponse, error) {
	records, below := orderReported(call.members)
	plain, packed, err := packMembers(records)
	if err != nil {
		return nil, err
	}
	call.request.Members, call.request.Packed, call.request.Below = plain, packed, uint32(below)
	ctx, cancel := context.WithTimeout(ctx, n.config.CallTimeout)
	defer cancel()
	return n.clients.report(ctx, call.parent, call.request)
}

// requeueMembers adds records that did not reach the parent to the next report,
// unless newer ones are pending.
func (n *Node) requeueMembers(members []reportedMember) {
	for _, member := range members {
		newer, found := n.reports.members[member.record.ID]
		if !found || member.record.Supersedes(newer.record) {
			n.reports.members[member.record.ID] = member
		}
	}
}

// orderReported puts the records of the subtree before the others and counts them.
func orderReported(members []reportedMember) (records []membership.Record, below int) {
	var others []membership.Record
	for _, member := range members {
		if member.below {
			records = append(records, member.record)
		} else {
			others = append(others, member.record)
		}
	}
	return append(records, others...), len(records)
}

// subtreeReadiness merges the readiness of this node and of all nodes below it.
func (n *Node) subtreeReadiness() rollout.Readiness {
	return rollout.MergeReadiness(n.ownReadiness(), n.children.readiness())
}

// ownReadiness is this node's part of the sum. A leaving node is not among the
// live members that the sum is compared with.
func (n *Node) ownReadiness() rollout.Readiness {
	state := n.participant.State()
	if n.self.State != membership.StateLive {
		return rollout.Readiness{Proposed: state.Head.Proposed, Committed: state.Head.Committed}
	}
	return state.Readiness(n.self.ID, n.self.Incarnation)
}

// reportsComplete reports whether no further readiness is expected from the subtree.
func (n *Node) reportsComplete() bool {
	state := n.participant.State()
	head := state.Head
	own := state.Readiness(n.self.ID, n.self.Incarnation)
	staged := head.Proposed == 0 || own.Ready.Count > 0 || len(own.Refused) > 0
	running := head.Committed == 0 || own.InForce.Count > 0
	return staged && running && n.children.allReported(head)
}

func equalReadiness(a, b rollout.Readiness) bool {
	return a.Proposed == b.Proposed && a.Committed == b.Committed &&
		a.Ready == b.Ready && a.InForce == b.InForce &&
		slices.Equal(a.Refused, b.Refused) && slices.Equal(a.Lagging, b.Lagging)
}
