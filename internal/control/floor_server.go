package control

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/pkg/rollout"
)

// Floor answers with the lowest version that a restarted node may run.
func (r rpc) Floor(ctx context.Context, request *controlpb.FloorRequest) (*controlpb.FloorResponse, error) {
	if request.GetLocal() {
		asking := zoneKey{region: request.GetRegion(), zone: request.GetZone()}
		return r.node.localFloor(request.GetNode(), asking), nil
	}
	answer, err := r.node.confirmedFloor(ctx)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, errorText(err))
	}
	return &controlpb.FloorResponse{
		Confirmed:  true,
		Known:      true,
		Generation: answer.generation,
		Committed:  answer.committed,
		Staged:     answer.staged,
		Node:       r.node.ID(),
	}, nil
}

// localFloor answers with what this node knows from its own state and from all
// nodes that have ever reported to it, and with how many zones and zone members
// it knows besides those of the requesting node. It is computed for each
// request, without calls to other nodes.
func (n *Node) localFloor(node string, zone zoneKey) *controlpb.FloorResponse {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	state := n.participant.State()
	return &controlpb.FloorResponse{
		Known:       state.FloorKnown && state.HeadKnown && n.authoritative(now()),
		Generation:  state.Head.Generation,
		Committed:   n.highestCommitted(state),
		Staged:      n.highestProposed(state),
		ZoneMembers: uint32(n.countOtherMembers(zone, node)),
		Zones:       uint32(n.countOtherZones(zone)),
		Node:        n.ID(),
	}
}

func (n *Node) ownCommitted() rollout.Version {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.highestCommitted(n.participant.State())
}

// highestCommitted returns the highest version that this node, or any node that
// has reported to it, runs or knows to be committed.
func (n *Node) highestCommitted(state rollout.ParticipantState) rollout.Version {
	highest := max(state.Floor, state.Head.Committed, n.reported.committed)
	if state.InForce != nil {
		highest = max(highest, state.InForce.Version())
	}
	return highest
}

// highestProposed returns the highest version that this node, or any node that
// has reported to it, holds or knows to be proposed, and that may have been
// committed as far as this node knows. A version that the head has passed without
// committing it was abandoned.
func (n *Node) highestProposed(state rollout.ParticipantState) rollout.Version {
	highest := state.Head.Proposed
	if state.Staged != nil {
		highest = max(highest, state.Staged.Version())
	}
	if reported := n.reported.proposed; reported > state.Head.HighestUsed {
		highest = max(highest, reported)
	}
	return highest
}

// authoritative reports whether this node may answer for the whole system. It may
// not while its tree is unsettled or most nodes are lost: a version could have
// been committed without it while it was cut off with the smaller part.
func (n *Node) authoritative(at time.Time) bool {
	view := n.table.View()
	settled := at.Sub(n.upstream.treeRootSince) >= n.config.TreeSettle
	return settled && view.Lost() < view.Len()
}
