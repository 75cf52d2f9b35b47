package hosted

import (
	"context"
	"time"

	"github.com/levertide/levertide/pkg/canary"
)

// Order is the operators' wish that a service moves to another version of its workers.
type Order struct {
	Service, Target string
	// Revision is that of the order in the store; a later order has a higher one.
	Revision uint64
	// Duration is how long the move may take.
	Duration time.Duration
}

// RolloutStatus is what the operators read of a move.
type RolloutStatus struct {
	Service, Target string
	State           canary.State
	// Revision is that of its last change; zero when there is none.
	Revision uint64
}

// RolloutStore is where operators leave their orders and read what became of them.
// Errors are ErrRefused and ErrUnanswered.
type RolloutStore interface {
	// Orders returns the newest order of each service.
	Orders(ctx context.Context) ([]Order, error)
	// Status returns the status of a service; one of revision zero when there is none.
	Status(ctx context.Context, service string) (RolloutStatus, error)
	// WriteStatus writes a status, if the one held is still of the given revision, and
	// returns the one held afterwards. When written is false, nothing was written.
	WriteStatus(ctx context.Context, s RolloutStatus) (held RolloutStatus, written bool, err error)
}
