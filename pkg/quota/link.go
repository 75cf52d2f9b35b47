package quota

import "time"

const (
	// idleInterval is the time between two messages to the hub from a node that needs no
	// tokens. busyInterval is the same for a node that spends tokens: half of the lifetime of
	// a token, so that tokens that are not needed are returned in time.
	idleInterval = 300 * time.Millisecond
	busyInterval = tokenLifetime / 2
	// startInterval is the time between two messages of a node that has no share yet.
	startInterval = 100 * time.Millisecond
	// minimumGap is the least time between two messages, however many requests wait.
	minimumGap = 10 * time.Millisecond
	// gapPerZoneNode, times the number of nodes of the zone, is the least time between two
	// messages of a node in a large zone. It bounds the message rate at a hub.
	gapPerZoneNode = 500 * time.Microsecond
	// LeaseTerm is how long a node leaves its share to a hub after the last message: until
	// the tokens that the hub has granted from that share can no longer be spent.
	LeaseTerm = leaseUseTerm + loanTerm + clockMargin
	// AnswerTimeout is the longest time that a node waits for the answer to a message. After
	// an answered message the timeout is four times the recent answer time, and quickBound at
	// least: requests wait meanwhile, and where a packet was lost the next message takes
	// another connection.
	AnswerTimeout = 300 * time.Millisecond
	quickBound    = 30 * time.Millisecond
	// unresponsiveAfter is the number of unanswered messages after which a hub counts as
	// unresponsive; it is more than one since a message may be lost. retryPause is the time
	// between two messages to an unresponsive hub.
	unresponsiveAfter = 2
	retryPause        = 200 * time.Millisecond
)

// link is the state of a node's exchange of messages with its hub.
type link struct {
	// hub is the ID of the hub.
	hub string
	// stamp is that of its last answer; empty when the hub is unresponsive.
	stamp Stamp
	// incarnation is the incarnation of the hub that granted the tokens this node holds.
	incarnation uint64
	// pending is set while a message waits for its answer.
	pending bool
	// failures counts the failed messages since the last answer; unresponsive is set while
	// there are too many. answeredAt is when that answer came.
	failures     int
	unresponsive bool
	answeredAt   time.Duration
	// answerTime is how long answers take: a decaying maximum of the latest ones.
	answerTime time.Duration
	// nextAt is when the next message is due.
	nextAt time.Duration
}

// ownLease is the lease of a node's share to a hub. The node has the share back at the time
// until at the latest.
type ownLease struct {
	hub   string
	until time.Duration
	// ending is set once a message has notified the hub that the lease ends.
	ending bool
}

// Due returns when the next message to the hub is due; false if none is.
func (n *Node) Due(now time.Duration) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.target(now) == "" || n.link.pending {
		return 0, false
	}
	at := n.link.nextAt
	if n.link.unresponsive {
		return at, true
	}
	for _, a := range n.accounts {
		if a.waiting > 0 && now >= a.deniedUntil {
			at = min(at, n.sentAt+n.gap())
		}
	}
	return at, true
}

// gap is the least time between two messages.
func (n *Node) gap() time.Duration {
	return max(minimumGap, time.Duration(len(n.pool.zone)+1)*gapPerZoneNode)
}

// AnswerTimeout returns how long to wait for the answer to the last message.
func (n *Node) AnswerTimeout() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.link.failures > 0 || n.link.answerTime == 0 {
		return AnswerTimeout
	}
	return min(max(4*n.link.answerTime, quickBound), AnswerTimeout)
}

// target returns the ID of the node that the next message goes to: a previous hub while it has
// the share and was not notified that the lease ends, else the current hub.
func (n *Node) target(now time.Duration) string {
	if l := n.lease; l.hub != n.hub && now < l.until && !l.ending {
		return l.hub
	}
	if n.hub == n.options.ID {
		return ""
	}
	return n.hub
}

// Request makes the next message to the hub, and returns the ID of the node to send it to.
// Call either Answered or Failed once before making the next message.
func (n *Node) Request(now time.Duration) (to string, r Request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refresh(now)
	to = n.target(now)
	n.number++
	if to != n.link.hub {
		n.link = link{hub: to}
	}
	n.pool.advance(now)
	n.sentAt, n.link.pending = now, true
	r = Request{
		Node: n.options.ID, Incarnation: n.options.Incarnation, Number: n.number, Stamp: n.link.stamp,
		HoldsLeasedShares: n.pool.part.share > n.pool.ownShare,
	}
	if to != n.hub {
		n.lease.ending = true
		return to, r
	}
	r.Share = n.leaseTo(now, to)
	for tenant, a := range n.accounts {
		if w, any := a.demand(now); any {
			w.Tenant = tenant
			r.Demands = append(r.Demands, w)
		}
	}
	return to, r
}

// leaseTo returns the share that the next message leases to a hub. It is zero while the node
// owns none, while the hub has not answered since it became unresponsive (there is no stamp),
// while another hub may use the share, and while tokens that this node lent from the share
// can still be spent.
func (n *Node) leaseTo(now time.Duration, hub string) float64 {
	ownedShare := n.ownedShare(now)
	if n.link.stamp.Incarnation == 0 || ownedShare == 0 || n.lease.hub != hub && now < n.lease.until {
		return 0
	}
	if now >= n.lease.until && !n.withdrawing {
		n.withdrawing, n.withdrawnAt = true, n.pool.loansEndAt(now)
		n.refresh(now)
	}
	if n.withdrawing && now < n.withdrawnAt {
		return 0
	}
	n.withdrawing = false
	n.lease = ownLease{hub: hub, until: now + LeaseTerm}
	return ownedShare
}

// Answered processes the answer to the last message.
func (n *Node) Answered(now time.Duration, answer Answer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.link.pending, n.link.failures, n.link.unresponsive, n.link.answeredAt = false, 0, false, now
	n.link.answerTime = max(n.link.answerTime*9/10, now-n.sentAt)
	firstAnswer := n.link.stamp.Incarnation == 0
	if n.link.incarnation != answer.Stamp.Incarnation {
		// Tokens granted by another incarnation of the hub are accounted for nowhere any more.
		n.dropTokens()
	}
	n.link.stamp, n.link.incarnation = answer.Stamp, answer.Stamp.Incarnation
	if answer.Confirmed && n.nodes > 0 {
		n.settleEarly(now)
	}
	if n.link.hub != n.hub {
		n.shortenLease(now)
		n.link.nextAt = now
		return
	}
	if now-n.sentAt > AnswerTimeout {
		answer.Grants = nil
	}
	for _, g := range answer.Grants {
		if a, known := n.accounts[g.Tenant]; known {
			a.addGrant(now, n.sentAt, g)
		}
	}
	n.link.nextAt = n.sentAt + n.interval(now)
	if firstAnswer {
		// Lease the share now that the hub has answered.
		n.link.nextAt = now
	}
}

// interval is the time between two messages while no request waits.
func (n *Node) interval(now time.Duration) time.Duration {
	if now < n.settledAt {
		return startInterval
	}
	for _, a := range n.accounts {
		if a.active(now) {
			return busyInterval
		}
	}
	return idleInterval
}

// shortenLease records that the hub that has the share no longer uses it. Tokens that it
// granted from the share may still be spent.
func (n *Node) shortenLease(now time.Duration) {
	if n.link.hub == n.lease.hub {
		n.lease.until = min(n.lease.until, now+loanTerm+clockMargin)
	}
}

// Failed records that the last message was not answered. A refused connection counts like any
// other failure: where a link is cut, something else may refuse the connection while the hub
// still runs.
func (n *Node) Failed(now time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.link.pending = false
	n.link.failures++
	if n.link.failures < unresponsiveAfter {
		n.link.nextAt = now
		return
	}
	n.link.unresponsive, n.link.stamp = true, Stamp{}
	n.link.nextAt = now + retryPause
	n.withdrawing = false
	n.refresh(now)
}
