package hosted

import (
	"errors"

	"github.com/joomcode/errorx"
	"github.com/twitchtv/twirp"

	"github.com/levertide/levertide/internal/exchangepb"
	"github.com/levertide/levertide/pkg/fleet"
)

// A message goes to an address, and an address may have gone from the node that the message is for
// to another one. Messages therefore name their receiver, and an answer counts as contact with that
// node only if it is its own.

// checkReceiver refuses a message that is for another node.
func (s *Server) checkReceiver(receiver string) error {
	self := s.peers.table.View().Self().ID
	if receiver == "" || receiver == self {
		// Older nodes name no receiver.
		return nil
	}
	return twirp.FailedPrecondition.Errorf("message is for another node than %s", self)
}

// isOtherNode reports whether another node has answered, or has refused a message since it is for
// another one.
func isOtherNode(err error) bool {
	var refusal twirp.Error
	return errorx.IsOfType(err, ErrOtherNode) || errors.As(err, &refusal) && refusal.Code() == twirp.FailedPrecondition
}

// checkAnswering returns an error if another node than the one that was asked has answered.
func checkAnswering(asked fleet.Node, answering string) error {
	if answering == asked.ID {
		return nil
	}
	return ErrOtherNode.New("%s answers at the address of %s", answering, asked.ID)
}

// broadcastTo returns a message that is for the given node. It shares all its parts with the given
// message, which may be sent to several nodes at the same time.
func broadcastTo(receiver string, m *exchangepb.BroadcastRequest) *exchangepb.BroadcastRequest {
	return &exchangepb.BroadcastRequest{
		Mesh:            m.GetMesh(),
		Sender:          m.GetSender(),
		Nodes:           m.GetNodes(),
		Document:        m.GetDocument(),
		After:           m.GetAfter(),
		Until:           m.GetUntil(),
		DocumentVersion: m.GetDocumentVersion(),
		Reach:           m.GetReach(),
		Evidence:        m.GetEvidence(),
		Receiver:        receiver,
	}
}

// borrowTo is broadcastTo for messages about quotas.
func borrowTo(receiver string, m *exchangepb.BorrowRequest) *exchangepb.BorrowRequest {
	return &exchangepb.BorrowRequest{
		Mesh:     m.GetMesh(),
		Sender:   m.GetSender(),
		Life:     m.GetLife(),
		Number:   m.GetNumber(),
		Stamp:    m.GetStamp(),
		Share:    m.GetShare(),
		Wants:    m.GetWants(),
		Move:     m.GetMove(),
		Pooled:   m.GetPooled(),
		Receiver: receiver,
	}
}
