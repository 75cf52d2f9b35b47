package hosted

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/levertide/levertide/pkg/contain"
	"github.com/levertide/levertide/pkg/fleet"
)

const (
	// syncInterval is the mean time between two anti-entropy exchanges.
	syncInterval = time.Second
	// firstSyncInterval is the mean time between two exchanges during firstSyncTime after the start
	// of a node: when the whole mesh starts, no node knows all others.
	firstSyncInterval = 250 * time.Millisecond
	firstSyncTime     = 3 * time.Second
	// nearShare is the share of exchanges within the own zone.
	nearShare = 0.75
	// nearPartners and farPartners are how many nodes of the own zone and of other zones a node
	// exchanges with. Random graphs of that degree are connected, and a partner is asked again
	// before the connection to it is idle for too long.
	nearPartners = 3
	farPartners  = 2
	// anyNodeShare is the share of exchanges with any other node, so that nodes whose partners know
	// as little as they do find the rest.
	anyNodeShare = 0.05
	// lostInterval is how often lost nodes are checked.
	lostInterval = 250 * time.Millisecond
	// lostTries bounds how many lost nodes are contacted at a time.
	lostTries = 3
	// forgetLost is how long a lost node is retried, forgetLeft how long one that has left is
	// remembered.
	forgetLost = 5 * time.Minute
	forgetLeft = 30 * time.Second
	// forgetReplaced is how long a node is remembered whose address another one has, or which has left
	// with drain commitments: longer than its entry in the store, or a late heartbeat, lasts.
	forgetReplaced = 5 * time.Minute
)

// Syncer runs anti-entropy exchanges with random other nodes, and retries those that are taken to
// be lost. It is a suture service.
type Syncer struct {
	peers    *Peers
	table    *fleet.Table
	contacts *fleet.Contacts
	// housekeeping is called in each round.
	housekeeping func(ctx context.Context)
	// onForgotten is called with the last record of a node that was removed from the table.
	onForgotten func(n fleet.Node)
	// leftSince are the nodes that have left, with when this node learned of it.
	leftSince map[string]time.Time
	// started is when Serve began.
	started time.Time
}

// String returns the name of the service in events.
func (s *Syncer) String() string { return "syncer" }

// Serve runs until the context ends.
func (s *Syncer) Serve(ctx context.Context) error {
	s.started = time.Now()
	next := s.started.Add(jittered(firstSyncInterval))
	for ctx.Err() == nil {
		sleep(ctx, lostInterval)
		s.housekeeping(ctx)
		s.retryLost(ctx)
		s.forget(time.Now())
		if now := time.Now(); !now.Before(next) {
			next = now.Add(jittered(intervalAfter(now.Sub(s.started))))
			s.exchange(ctx)
		}
	}
	return ctx.Err()
}

// intervalAfter returns the mean time between two exchanges of a node that has run for the given
// time.
func intervalAfter(running time.Duration) time.Duration {
	if running < firstSyncTime {
		return firstSyncInterval
	}
	return syncInterval
}

// exchange runs an anti-entropy exchange with a node that is taken to be reachable: mostly one of
// few partners, to which a connection is open, and mostly of the own zone, since traffic between
// zones is expensive.
func (s *Syncer) exchange(ctx context.Context) {
	peers := s.peers.reachablePeers()
	self := s.table.View().Self()
	if rand.Float64() >= anyNodeShare {
		near, far := nearPartners, 0
		if rand.Float64() >= s.nearShare() {
			near, far = 0, farPartners
		}
		if partners := fleet.Partners(peers, self.ID, self.Zone, near, far); len(partners) > 0 {
			peers = partners
		}
	}
	if len(peers) > 0 {
		s.peers.Sync(ctx, *peers[rand.IntN(len(peers))])
	}
}

// nearShare is the share of exchanges within the own zone. While this node has just started,
// records of other zones arrive through the hubs, and all that differ would cross between zones
// again for each pair of nodes that exchanges.
func (s *Syncer) nearShare() float64 {
	if time.Since(s.started) >= firstSyncTime {
		return nearShare
	}
	self := s.table.View().Self()
	if near := s.peers.inZone(self.Zone); len(near) > 0 && fleet.Hub(append(near, &self)).ID != self.ID {
		return 1
	}
	return nearShare
}

// retryLost retries some of the lost nodes that are due.
func (s *Syncer) retryLost(ctx context.Context) {
	due := s.contacts.Due(time.Now())
	rand.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	view := s.table.View()
	for _, id := range due[:min(len(due), lostTries)] {
		if node, known := view.Node(id); known && node.State != fleet.StateLeft {
			go contain.Run(contain.Task, s.String(), s.peers.panicked, func() { s.peers.Sync(ctx, node) })
		} else {
			s.contacts.Reached(id)
		}
	}
}

// forget removes nodes that have left or have been lost for long.
func (s *Syncer) forget(now time.Time) {
	left := map[string]time.Time{}
	for _, node := range s.table.View().Nodes() {
		since, lost := s.contacts.LostSince(node.ID)
		switch {
		case node.State == fleet.StateLeft:
			s.forgetGone(node, left, now)
		case lost && now.Sub(since) > forgetLost:
			s.table.Remove(node.ID)
			s.onForgotten(*node)
			s.contacts.Reached(node.ID)
		}
	}
	s.leftSince = left
}

// forgetGone removes a node that has left for long enough, and notes in left since when until then.
func (s *Syncer) forgetGone(node *fleet.Node, left map[string]time.Time, now time.Time) {
	term := forgetLeft
	if node.Replaced() || len(drainCommittedOnly(node.Workers)) > 0 {
		term = forgetReplaced
	}
	since, known := s.leftSince[node.ID]
	if !known {
		since = now
	}
	if now.Sub(since) > term {
		s.table.Remove(node.ID)
		s.onForgotten(*node)
		return
	}
	left[node.ID] = since
}
