package hosted

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/levertide/levertide/pkg/fleet"
)

const (
	// standbyCount is how many nodes monitor those before them in the order of readers, and
	// nearStandbys how many of these, the first ones, probe all readers each time. The others probe
	// one of the readers and first standbys each time: they are needed when a loss of power takes
	// all of those.
	standbyCount = 12
	nearStandbys = 5
	// standbyInterval is the mean time between two checks of one node. With the timeout of a
	// message it keeps a change that is made while all readers are lost within the seconds that
	// operators expect.
	standbyInterval = 600 * time.Millisecond
)

// Standby has the nodes that are next in line to read the store probe those before them. A node
// takes a reader's place only when it has itself found the reader to be lost, and most nodes have
// no other reason to contact these nodes: without the probes, no node would read the store after
// all readers are lost at once. It is a suture service.
type Standby struct {
	peers    *Peers
	table    *fleet.Table
	contacts *fleet.Contacts
}

// String returns the name of the service in events.
func (s *Standby) String() string { return "standby" }

// Serve monitors the readers until the context ends.
func (s *Standby) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, jittered(standbyInterval))
		s.look(ctx)
	}
	return ctx.Err()
}

// look probes some of the nodes before this one in the order of readers. When none of them answers
// it probes all others before it at once.
func (s *Standby) look(ctx context.Context) {
	before := s.before()
	if len(before) < readerCount || s.anyAnswers(ctx, pickProbed(before)) {
		return
	}
	s.anyAnswers(ctx, s.before())
}

// before returns the nodes before this one in the order of readers that it takes to be reachable;
// none when it is not among the first.
func (s *Standby) before() []string {
	view := s.table.View()
	order := fleet.Readers(view, s.contacts.Reachable, readerCount+standbyCount)
	return order[:max(slices.Index(order, view.Self().ID), 0)]
}

// pickProbed returns which of the nodes before it a standby probes. The first nearStandbys standbys
// probe all readers, the others one random node of the readers and these standbys. At least the
// readers must be among the nodes before it.
func pickProbed(before []string) []string {
	const near = readerCount + nearStandbys
	if len(before) < near {
		return before[:readerCount]
	}
	n := rand.IntN(near)
	return before[n : n+1]
}

// anyAnswers probes nodes concurrently, and reports whether one of them has answered.
func (s *Standby) anyAnswers(ctx context.Context, ids []string) bool {
	view := s.table.View()
	var answered atomic.Bool
	probes := s.peers.group()
	for _, id := range ids {
		node, known := view.Node(id)
		if !known {
			continue
		}
		probes.Go(func() {
			if s.peers.probe(ctx, node) {
				answered.Store(true)
			}
		})
	}
	probes.Wait()
	return answered.Load()
}
