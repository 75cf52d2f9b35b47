package control

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/pkg/membership"
)

// Report applies a child's report about its subtree.
func (r rpc) Report(ctx context.Context, request *controlpb.ReportRequest) (*controlpb.ReportResponse, error) {
	err := checkReport(request)
	var records []membership.Record
	if err == nil {
		records, err = unpackMembers(request.GetMembers(), request.GetPacked())
	}
	if err != nil {
		r.node.events.PeerRefused(request.GetNode(), err.Error())
		return nil, twirp.InvalidArgument.Error(err.Error())
	}
	if record, found := r.node.childRecord(request.GetNode()); found {
		if err := r.node.verifyClaim(ctx, MessageReport, record); err != nil {
			return nil, err
		}
	}
	return &controlpb.ReportResponse{Attached: r.node.applyReport(request, records)}, nil
}

// applyReport returns false when the child is not attached under the attachment
// number that it gives. A report older than one applied before changes nothing.
func (n *Node) applyReport(request *controlpb.ReportRequest, records []membership.Record) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	entry, found := n.children.byID[request.GetNode()]
	if !found || entry.record.Incarnation != request.GetIncarnation() || entry.record.Attachment != request.GetAttachment() {
		return false
	}
	if request.GetSequence() <= entry.sequence {
		return true
	}
	entry.sequence = request.GetSequence()
	isFirst := !entry.reported
	entry.readiness, entry.reported = readinessOf(request.GetReadiness()), true
	n.reported.raise(entry.readiness)
	at := now()
	below := records[:min(int(request.GetBelow()), len(records))]
	if isFirst {
		n.reportDetached(n.children.retainDescendants(request.GetNode(), below), at)
	}
	n.mergeBelow(at, below...)
	n.mergeOutside(at, records[len(below):]...)
	n.reportDetached(n.children.removeDescendants(request.GetNode(), request.GetDetached()), at)
	added, dropped := n.children.addDescendants(request.GetNode(), n.newestKnown(below))
	n.reportDetached(dropped, at)
	n.reportBelow(added, at)
	n.reports.readinessChanged(at, n.reportsComplete())
	n.catchUpWith(entry, request.GetHeadGeneration())
	n.kick()
	return true
}

// reportBelow reports to the parent that nodes are now below this one, even when
// their records were known before.
func (n *Node) reportBelow(records []membership.Record, at time.Time) {
	for _, record := range records {
		n.reports.addMember(reportedMember{record: record, below: true}, at)
	}
}

// newestKnown returns the records that are the newest known of their nodes.
func (n *Node) newestKnown(records []membership.Record) []membership.Record {
	var newest []membership.Record
	for _, record := range records {
		if held, found := n.table.Get(record.ID); found && held == record {
			newest = append(newest, record)
		}
	}
	return newest
}
