package connect

import (
	"context"
	"fmt"

	"github.com/levertide/levertide/internal/controlpb"
	"github.com/levertide/levertide/pkg/rollout"
)

// NewestHead queries every named node and returns the newest head among their
// answers. It fails unless all of them answer.
func (n *Nodes) NewestHead(ctx context.Context) (rollout.Head, error) {
	var newest rollout.Head
	for _, address := range n.addresses {
		answer, err := n.requestStatus(ctx, address)
		if err != nil {
			return rollout.Head{}, fmt.Errorf("%s: %w", address, err)
		}
		if head := controlpb.HeadOf(answer.GetHead()); head.Generation > newest.Generation {
			newest = head
		}
	}
	return newest, nil
}
