package control

import (
	"context"

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
		Known:      state.FloorKnown && state.HeadKnown,
		Generation: state.Head.Generation,
		Committed:  max(state.Floor, state.Head.Committed),
		Staged:     state.Head.Proposed,
	}
	if state.Staged != nil {
		response.Staged = max(response.Staged, state.Staged.Version())
	}
	return response
}
