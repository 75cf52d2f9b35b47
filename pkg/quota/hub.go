package quota

import "time"

const (
	// AskWait is how long requests wait at a hub while it asks other hubs, AskGap the pause
	// between two rounds of asking, and AskRounds the number of rounds.
	AskWait   = 30 * time.Millisecond
	AskGap    = 4 * time.Millisecond
	AskRounds = 3
	// HubsPerRound is how many hubs are asked in one round, each for an equal part.
	HubsPerRound = 4
)

// Serve answers the message of another node that takes this one for its hub. If lacking is
// true, the answer grants too few tokens and other hubs may have some: Complete then adds
// them to the answer.
func (n *Node) Serve(now time.Duration, r Request) (answer Answer, lacking bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refresh(now)
	answer = n.pool.serve(now, r)
	for _, g := range answer.Grants {
		lacking = lacking || g.Next > 0 && n.pool.mayAskOtherHubs(now, g.Tenant)
	}
	return answer, lacking
}

// Complete adds to an answer the tokens that arrived since Serve made it.
func (n *Node) Complete(now time.Duration, r Request, answer Answer) Answer {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refresh(now)
	return n.pool.complete(now, r, answer)
}

// Shortage returns which tokens other hubs are to be asked for.
func (n *Node) Shortage(now time.Duration) []Demand {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refresh(now)
	return n.pool.shortage(now)
}

// Give moves tokens to another hub that lacks them. They are gone here, whether they reach
// the other hub or not.
func (n *Node) Give(now time.Duration, demands []Demand) []Grant {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refresh(now)
	return n.pool.give(now, demands)
}

// Receive adds the tokens that another hub gave.
func (n *Node) Receive(now time.Duration, grants []Grant) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refresh(now)
	n.pool.receive(now, grants)
}
