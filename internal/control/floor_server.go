package control

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/levertide/levertide/internal/controlpb"
)

// Floor tells the lowest version that a restarted node may run.
func (r rpc) Floor(ctx context.Context, request *controlpb.FloorRequest) (*controlpb.FloorResponse, error) {
	if request.GetLocal() {
		return r.node.localFloor(), nil
	}
	answer, err := r.node.confirmedFloor(ctx)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, plain(err))
	}
	return &controlpb.FloorResponse{
		Confirmed:  true,
		Known:      true,
		Generation: answer.generation,
		Committed:  answer.committed,
		Staged:     answer.staged,
	}, nil
}

// localFloor tells what this node itself knows.
func (n *Node) localFloor() *controlpb.FloorResponse {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	state := n.participant.State()
	response := &controlpb.FloorResponse{
		Known:      state.FloorKnown && state.HeadKnown && n.vouches(now()),
		Generation: state.Head.Generation,
		Committed:  max(state.Floor, state.Head.Committed),
		Staged:     state.Head.Proposed,
	}
	if state.Staged != nil {
		response.Staged = max(response.Staged, state.Staged.Version())
	}
	return response
}

// vouches reports whether this node may speak for the system: a version could
// have been committed without it while it was cut off with the smaller part.
func (n *Node) vouches(at time.Time) bool {
	view := n.table.View()
	settled := at.Sub(n.upstream.topSince) >= n.config.TreeSettle
	return settled && view.Lost() < view.Len()
}
