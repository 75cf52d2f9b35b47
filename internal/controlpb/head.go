package controlpb

import (
	"time"

	"github.com/levertide/levertide/pkg/rollout"
)

// HeadOf returns the head that a message stands for. A nil message is the zero head.
func HeadOf(message *Head) rollout.Head {
	head := rollout.Head{
		Generation:  message.GetGeneration(),
		Committed:   message.GetCommitted(),
		Proposed:    message.GetProposed(),
		HighestUsed: message.GetHighestUsed(),
		ApplyID:     message.GetApplyId(),
		ChangedAt:   TimeOf(message.GetChangedAtUnixNanoseconds()),
	}
	if rejected := message.GetLastRejected(); rejected != nil {
		head.LastRejected = &rollout.Rejection{
			Version: rejected.GetVersion(),
			ApplyID: rejected.GetApplyId(),
			Node:    rejected.GetNode(),
			Reason:  rejected.GetReason(),
			At:      TimeOf(rejected.GetAtUnixNanoseconds()),
		}
	}
	return head
}

// TimeOf returns the moment of a count of nanoseconds since 1970; zero is the
// zero time.
func TimeOf(unixNanoseconds int64) time.Time {
	if unixNanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, unixNanoseconds)
}
