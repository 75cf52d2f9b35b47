package connect

import (
	"context"
	"fmt"
	"time"

	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/pkg/rollout"
)

// HeadOf returns the head that a node answered with.
func HeadOf(message *controlpb.Head) rollout.Head {
	head := rollout.Head{
		Generation:  message.GetGeneration(),
		Committed:   message.GetCommitted(),
		Proposed:    message.GetProposed(),
		HighestUsed: message.GetHighestUsed(),
		ApplyID:     message.GetApplyId(),
		ChangedAt:   timeOf(message.GetChangedAtUnixNanoseconds()),
	}
	if rejected := message.GetLastRejected(); rejected != nil {
		head.LastRejected = &rollout.Rejection{
			Version: rejected.GetVersion(),
			ApplyID: rejected.GetApplyId(),
			Node:    rejected.GetNode(),
			Reason:  rejected.GetReason(),
			At:      timeOf(rejected.GetAtUnixNanoseconds()),
		}
	}
	return head
}

func timeOf(unixNanoseconds int64) time.Time {
	if unixNanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, unixNanoseconds)
}

// NewestHead asks every node that is named and returns the newest head among
// their answers. It fails unless all of them answer.
func (n *Nodes) NewestHead(ctx context.Context) (rollout.Head, error) {
	var newest rollout.Head
	for _, address := range n.addresses {
		answer, err := n.ask(ctx, address)
		if err != nil {
			return rollout.Head{}, fmt.Errorf("%s: %w", address, err)
		}
		if head := HeadOf(answer.GetHead()); head.Generation > newest.Generation {
			newest = head
		}
	}
	return newest, nil
}
