package hosted

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/levertide/levertide/pkg/fleet"
)

const (
	// standbyCount is how many nodes look after those that read the store. A loss of power takes
	// readers and some of these together.
	standbyCount = 5
	// standbyInterval is the mean time between two looks of one node. With the bound of a message
	// it keeps a change that comes while all readers are gone within the seconds that operators
	// expect.
	standbyInterval = 600 * time.Millisecond
)

// Standby has the nodes that are next to read the store ask those that do whether they are there.
// A node takes a reader's place only when it has found the reader to be lost itself, and most
// nodes have no other reason to speak with just these: when all readers are gone at once, nobody
// would read the store. It is a suture service.
type Standby struct {
	peers    *Peers
	table    *fleet.Table
	contacts *fleet.Contacts
}

// String names the part in events.
func (s *Standby) String() string { return "standby" }

// Serve looks after the readers until the context ends.
func (s *Standby) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, jittered(standbyInterval))
		s.look(ctx)
	}
	return ctx.Err()
}

// look asks all readers at a time, if this node is one of those next to read.
func (s *Standby) look(ctx context.Context) {
	view := s.table.View()
	order := fleet.Readers(view, s.contacts.Reachable, readerCount+standbyCount)
	if slices.Index(order, view.Self().ID) < readerCount {
		return
	}
	var questions sync.WaitGroup
	for _, id := range order[:readerCount] {
		if reader, known := view.Node(id); known {
			questions.Go(func() { s.peers.ask(ctx, reader) })
		}
	}
	questions.Wait()
}
