package quota

import (
	"time"

	"github.com/levertide/levertide/pkg/contain"
)

const (
	// settleTime is how long a node that has started owns no share: its previous incarnation
	// may have leased it, and the other nodes must first count this node.
	settleTime = LeaseTerm + 100*time.Millisecond
	// discoveryTime is how long nodes that start together take to discover each other: before,
	// each would count too few nodes and so take too large a share.
	discoveryTime = 300 * time.Millisecond
	// WaitLimit is how long a request waits for tokens.
	WaitLimit = 60 * time.Millisecond
	// borrowAhead is the time for which a node borrows tokens in advance, by its recent
	// request rate.
	borrowAhead = 300 * time.Millisecond
	// shortestDenial and longestDenial bound how long a node refuses requests without asking
	// its hub again, once the hub had no token: a refusal then costs no message.
	shortestDenial = 20 * time.Millisecond
	longestDenial  = 200 * time.Millisecond
)

// Options set up a Node.
type Options struct {
	// ID names the node. Incarnation distinguishes the runs of its process and rises with
	// each start.
	ID          string
	Incarnation uint64
	// Start is when the process started.
	Start time.Duration
	// Tolerance is by how much a limit may be exceeded over all nodes.
	Tolerance Tolerance
	// Draw returns a number from 0 up to 1.
	Draw func() float64
}

// Node enforces the limits at one node. Times are durations since an arbitrary moment, on a
// monotonic clock that also runs while the machine is suspended. A Node is safe for
// concurrent use.
type Node struct {
	options Options

	mu       contain.Mutex
	pool     *pool
	accounts map[string]*account
	// settledAt is the time from which the node owns a share. nodes is how many nodes own one
	// each; zero while that is not known.
	settledAt time.Duration
	nodes     int
	// hub is the hub of the zone as this node sees it; it may be the node itself.
	hub string
	// number is the number of the last message, sentAt is when it was made.
	number uint64
	sentAt time.Duration
	link   link
	lease  ownLease
	// withdrawing is set while the node no longer mints for its own share and has not leased
	// it yet: until withdrawnAt, tokens that it lent from that share can still be spent.
	withdrawnAt time.Duration
	withdrawing bool
	// forgotAt is when forget last removed unused entries.
	forgotAt time.Duration
}

// NewNode returns a node that knows no other nodes.
func NewNode(o Options) *Node {
	return &Node{
		options: o, pool: newPool(o.Incarnation, o.Start, o.Tolerance.spare(), o.Draw), accounts: map[string]*account{},
		settledAt: o.Start + settleTime,
	}
}

// SetMesh sets the number of nodes, the other nodes of the zone, and the hub of the zone:
// the node itself, another one, or none. Lost nodes count. Zero nodes means that their number
// is not known: the node then owns no share.
func (n *Node) SetMesh(now time.Duration, nodes int, zone []string, hub string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.forget(now)
	n.nodes = nodes
	n.pool.zone = zone
	if hub != n.hub {
		n.hub = hub
		n.withdrawing = false
		// The tokens that the previous hub granted are accounted for there, not at the new hub.
		n.dropTokens()
	}
	n.refresh(now)
}

// settleEarly lets this node use its share as soon as the nodes know each other, instead of
// waiting for settleTime: no hub still uses it under a lease of a previous incarnation.
func (n *Node) settleEarly(now time.Duration) {
	n.settledAt = min(n.settledAt, max(now, n.options.Start+discoveryTime))
	n.pool.acceptsLeasesFrom = min(n.pool.acceptsLeasesFrom, now)
}

// dropTokens discards the borrowed tokens: the node that granted them is no longer the hub,
// or its process has ended.
func (n *Node) dropTokens() {
	for _, a := range n.accounts {
		a.held, a.reserved, a.deniedUntil = 0, 0, 0
	}
}

// ownedShare is the share that the node owns.
func (n *Node) ownedShare(now time.Duration) float64 {
	if n.nodes <= 0 || now < n.settledAt {
		return 0
	}
	return 1 / float64(n.nodes)
}

// refresh makes the pool mint for the node's own share while that is leased to no hub.
func (n *Node) refresh(now time.Duration) {
	if now < n.settledAt && n.nodes > 0 && n.hub == n.options.ID && n.pool.zoneConfirmed(n.hub, n.options.Start) {
		n.settleEarly(now)
	}
	own := n.ownedShare(now)
	if now < n.lease.until || n.withdrawing {
		own = 0
	}
	n.pool.setOwn(now, own)
}

// usesOwnPool reports whether the node takes tokens from its own pool.
func (n *Node) usesOwnPool() bool { return n.hub == n.options.ID || n.pool.ownShare > 0 }

// SinceHubAnswered returns how long ago the hub last answered; zero for the hub itself.
func (n *Node) SinceHubAnswered(now time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hub == n.options.ID {
		return 0
	}
	return now - n.link.answeredAt
}

// Holdings are the tokens and the share of a node, over all tenants together.
type Holdings struct {
	// Tokens are borrowed from the hub. Pooled are those in the node's own pool, available to
	// be taken or lent.
	Tokens, Pooled float64
	// Share is the fraction of each limit that this node mints for.
	Share float64
}

// Holdings returns the current holdings of the node.
func (n *Node) Holdings(now time.Duration) Holdings {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refresh(now)
	n.pool.advance(now)
	h := Holdings{Share: n.pool.part.share}
	for _, a := range n.accounts {
		if now < a.expires {
			h.Tokens += a.held
		}
	}
	for _, b := range n.pool.buckets {
		h.Pooled += max(b.level, 0)
	}
	return h
}

// forget removes tenants and nodes that were not used or heard of for forgetTerm.
func (n *Node) forget(now time.Duration) {
	if now-n.forgotAt < forgetPause {
		return
	}
	n.forgotAt = now
	n.pool.forget(now)
	for tenant, a := range n.accounts {
		if now-a.usedAt > forgetTerm {
			delete(n.accounts, tenant)
		}
	}
}
