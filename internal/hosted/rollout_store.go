package hosted

import (
	"context"
	"time"

	"github.com/levertide/levertide/pkg/canary"
)

// Order is a request of the operators to move a service to another version of its workers.
type Order struct {
	Service, Target string
	// Era and Revision are those of the order in the store; a later order has a higher era,
	// or a higher revision of the same.
	Era, Revision uint64
	// FromCopy is set when the order may have been in the copy from which the store was restored
	// into its era: it may be older than an order of an earlier era.
	FromCopy bool
	// Duration is how long the move may take.
	Duration time.Duration
}

// RolloutStatus is the status of a move, for the operators.
type RolloutStatus struct {
	Service, Target string
	State           canary.State
	// Revision is that of its last change; zero when there is none.
	Revision uint64
}

// RolloutStore is where operators put their orders and read their status. Errors are ErrRefused and
// ErrUnanswered.
type RolloutStore interface {
	// Orders returns the newest order of each service.
	Orders(ctx context.Context) ([]Order, error)
	// Status returns the status of a service; one of revision zero when there is none.
	Status(ctx context.Context, service string) (RolloutStatus, error)
	// WriteStatus writes a status if the held one still has the given revision, and returns the one
	// held afterwards. When written is false, nothing was written.
	WriteStatus(ctx context.Context, s RolloutStatus) (held RolloutStatus, written bool, err error)
}
