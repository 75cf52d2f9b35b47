package control

import (
	"context"

	"github.com/twitchtv/twirp"

	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/pkg/membership"
)

// Members answers a starting node with the members it needs to find a parent.
func (r rpc) Members(ctx context.Context, request *controlpb.MembersRequest) (*controlpb.MembersResponse, error) {
	if self := request.GetSelf(); self != nil {
		if err := checkMember(self); err != nil {
			return nil, twirp.InvalidArgument.Error(err.Error())
		}
		if err := r.node.verifyClaim(ctx, MessageMembers, memberRecord(self)); err != nil {
			return nil, err
		}
		r.node.mergeOtherRoot(memberRecord(self))
	}
	plain, packed, err := packMembers(r.node.membersFor(request))
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &controlpb.MembersResponse{Members: plain, Packed: packed, Node: r.node.ID()}, nil
}

// mergeOtherRoot merges the record of the root of another tree.
func (n *Node) mergeOtherRoot(record membership.Record) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.plan.trust(record.ID)
	n.mergeOutside(now(), record)
}

// membersFor lists the members of the requester's zone, the first members of
// every other zone, the readers and this node itself.
func (n *Node) membersFor(request *controlpb.MembersRequest) []membership.Record {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	leaders := n.zoneLeaders()
	var records []membership.Record
	for _, record := range n.table.View().Live() {
		inZone := record.Zone == request.GetZone() && record.Region == request.GetRegion()
		_, leads := leaders[record.ID]
		if inZone || leads || record.Reader || record.ID == n.self.ID {
			records = append(records, *record)
		}
	}
	return n.withLostAsker(records, request.GetSelf().GetId())
}

// withLostAsker adds the requester's own record when this node holds it as lost,
// so that the requester can refute that.
func (n *Node) withLostAsker(records []membership.Record, asker string) []membership.Record {
	if held, found := n.table.Get(asker); found && held.State == membership.StateLost {
		records = append(records, held)
	}
	return records
}
