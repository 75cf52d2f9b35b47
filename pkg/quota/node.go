package quota

import (
	"sync"
	"time"
)

const (
	// settleTime is how long a node that has started owns no share: a former life may have
	// leased it, and the others have to count this node first.
	settleTime = LeaseTerm + 100*time.Millisecond
	// meetTime is how long nodes that start together take to hear of each other: sooner, each
	// would count too few nodes and so take too large a share.
	meetTime = 300 * time.Millisecond
	// WaitLimit is how long a request waits for tokens.
	WaitLimit = 60 * time.Millisecond
	// ahead is the time for which a node borrows tokens in advance, by its recent demand.
	ahead = 300 * time.Millisecond
	// shortestDenial and longestDenial bound how long a node refuses without asking its hub
	// again, once that had no token: a refusal then costs no message.
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

// Node is the part of one node in keeping limits. Times are those of a clock that never
// goes back and counts while the machine is suspended, as durations since any moment. It is
// safe for concurrent use.
type Node struct {
	options Options

	mu       sync.Mutex
	pool     *pool
	accounts map[string]*account
	// settled is from when on the node owns a share; nodes is how many own one each, zero
	// while that is not known.
	settled time.Duration
	nodes   int
	// hub is the hub of the zone as this node sees it; it may be the node itself.
	hub string
	// number is that of the last message, sentAt is when it was made.
	number uint64
	sentAt time.Duration
	link   link
	lease  ownLease
	// withdrawal is set while the node no longer mints for its own share and has not leased
	// it yet: until withdrawn, tokens that it lent by that share can still be spent.
	withdrawn  time.Duration
	withdrawal bool
	// forgotAt is when it was last looked what may be forgotten.
	forgotAt time.Duration
}

// NewNode returns a node that knows no others.
func NewNode(o Options) *Node {
	return &Node{
		options: o, pool: newPool(o.Incarnation, o.Start, o.Tolerance.spare(), o.Draw), accounts: map[string]*account{},
		settled: o.Start + settleTime,
	}
}

// SetMesh tells how many nodes there are, which others there are in the zone, and which one
// is the hub of the zone: the node itself, another one, or none. Lost nodes count. Zero nodes
// says that their number is not known: the node then owns no share.
func (n *Node) SetMesh(now time.Duration, nodes int, zone []string, hub string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.forget(now)
	n.nodes = nodes
	n.pool.zone = zone
	if hub != n.hub {
		n.hub = hub
		n.withdrawal = false
		// What the former hub has granted counts there, and not at the new one.
		n.dropTokens()
	}
	n.refresh(now)
}

// vouch lets this node use its share as soon as the nodes know each other, in place of
// waiting for settleTime: no hub still uses it on a lease of a former life.
func (n *Node) vouch(now time.Duration) {
	n.settled = min(n.settled, max(now, n.options.Start+meetTime))
	n.pool.opens = min(n.pool.opens, now)
}

// dropTokens forgets the borrowed tokens: the hub that granted them is no longer the hub, or
// its process has ended.
func (n *Node) dropTokens() {
	for _, a := range n.accounts {
		a.held, a.ready, a.deniedUntil = 0, 0, 0
	}
}

// owned is the share that the node owns.
func (n *Node) owned(now time.Duration) float64 {
	if n.nodes <= 0 || now < n.settled {
		return 0
	}
	return 1 / float64(n.nodes)
}

// refresh has the pool mint for the node's own share while that is leased to nobody.
func (n *Node) refresh(now time.Duration) {
	if now < n.settled && n.nodes > 0 && n.hub == n.options.ID && n.pool.vouched(n.hub, n.options.Start) {
		n.vouch(now)
	}
	own := n.owned(now)
	if now < n.lease.until || n.withdrawal {
		own = 0
	}
	n.pool.setOwn(now, own)
}

// own reports whether the node decides by the tokens of its own pool.
func (n *Node) own() bool { return n.hub == n.options.ID || n.pool.own > 0 }

// SinceHubAnswered returns how long ago the hub last answered; zero for the hub itself.
func (n *Node) SinceHubAnswered(now time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hub == n.options.ID {
		return 0
	}
	return now - n.link.heard
}

// Holdings are what a node has of all tenants together.
type Holdings struct {
	// Tokens are borrowed, Pooled there to be taken or lent.
	Tokens, Pooled float64
	// Share is the part of each limit that this node mints for.
	Share float64
}

// Holdings returns what the node has.
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

// forget drops tenants that were not heard of for long.
func (n *Node) forget(now time.Duration) {
	if now-n.forgotAt < forgetPause {
		return
	}
	n.forgotAt = now
	n.pool.forget(now)
	for tenant, a := range n.accounts {
		if now-a.used > forgetTerm {
			delete(n.accounts, tenant)
		}
	}
}
