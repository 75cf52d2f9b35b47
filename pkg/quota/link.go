package quota

import "time"

const (
	// calmInterval is the time between two messages of a node to its hub that needs no
	// tokens, busyInterval of one that spends some: half of the life of a token, so that
	// what is not needed goes back in time.
	calmInterval = 300 * time.Millisecond
	busyInterval = tokenLife / 2
	// startInterval is the time between two messages of a node that has no share yet.
	startInterval = 100 * time.Millisecond
	// leastGap is the least time between two messages, however many requests wait.
	leastGap = 10 * time.Millisecond
	// hubPace, times the nodes of the zone, is the least time between two messages of a node
	// in a large zone. It bounds how many messages a hub gets.
	hubPace = 500 * time.Microsecond
	// LeaseTerm is how long a node leaves its share to a hub after the last message: until
	// the tokens that the hub has granted by it can be spent no more.
	LeaseTerm = useTerm + lateLife + clockMargin
	// AnswerTimeout is the longest time that a node waits for the answer to a message. After
	// an answered message the timeout is four times the recent answer time, and quickBound at
	// least: requests wait meanwhile, and where a packet was lost the next message takes
	// another connection.
	AnswerTimeout = 300 * time.Millisecond
	quickBound    = 30 * time.Millisecond
	// silentAfter is how many messages without an answer make a hub silent: a message may be
	// lost. retryPause is the time between two messages to a silent hub.
	silentAfter = 2
	retryPause  = 200 * time.Millisecond
)

// link is what a node knows of the hub that it speaks with.
type link struct {
	// to names the hub.
	to string
	// stamp is that of its last answer; empty when it is silent.
	stamp Stamp
	// life is the life of the hub's process that has granted what this node holds.
	life uint64
	// pending is set while a message waits for its answer.
	pending bool
	// failures counts the messages since the last answer; silent is set while these are too
	// many. heard is when that answer came.
	failures int
	silent   bool
	heard    time.Duration
	// took is how long answers take: the longest of late.
	took time.Duration
	// next is when the next message is due.
	next time.Duration
}

// ownLease says which hub has the share of a node, and when it is back at the latest.
type ownLease struct {
	to    string
	until time.Duration
	// ending is set once the hub was told that the lease ends.
	ending bool
}

// Due returns when the next message to the hub is to be made, if any.
func (n *Node) Due(now time.Duration) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.target(now) == "" || n.link.pending {
		return 0, false
	}
	at := n.link.next
	if n.link.silent {
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
	return max(leastGap, time.Duration(len(n.pool.zone)+1)*hubPace)
}

// AnswerTimeout returns how long to wait for the answer to the last message.
func (n *Node) AnswerTimeout() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.link.failures > 0 || n.link.took == 0 {
		return AnswerTimeout
	}
	return min(max(4*n.link.took, quickBound), AnswerTimeout)
}

// target is where the next message goes: to a former hub while it has the share and was not
// told that it loses it, else to the hub.
func (n *Node) target(now time.Duration) string {
	if l := n.lease; l.to != n.hub && now < l.until && !l.ending {
		return l.to
	}
	if n.hub == n.options.ID {
		return ""
	}
	return n.hub
}

// Request makes the next message to the hub, and tells to which node it goes. It is followed
// by one call of Answered or Failed before the next one is made.
func (n *Node) Request(now time.Duration) (to string, r Request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refresh(now)
	to = n.target(now)
	n.number++
	if to != n.link.to {
		n.link = link{to: to}
	}
	n.pool.advance(now)
	n.sentAt, n.link.pending = now, true
	r = Request{
		Node: n.options.ID, Incarnation: n.options.Incarnation, Number: n.number, Stamp: n.link.stamp,
		HoldsLeasedShares: n.pool.part.share > n.pool.own,
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
// owns none, while the hub has not answered since it was silent (there is no stamp), and
// while another hub may use the share or tokens that this node lent by it can still be spent.
func (n *Node) leaseTo(now time.Duration, hub string) float64 {
	owned := n.owned(now)
	if n.link.stamp.Incarnation == 0 || owned == 0 || n.lease.to != hub && now < n.lease.until {
		return 0
	}
	if now >= n.lease.until && !n.withdrawal {
		n.withdrawal, n.withdrawn = true, n.pool.free(now)
		n.refresh(now)
	}
	if n.withdrawal && now < n.withdrawn {
		return 0
	}
	n.withdrawal = false
	n.lease = ownLease{to: hub, until: now + LeaseTerm}
	return owned
}

// Answered takes the answer to the last message.
func (n *Node) Answered(now time.Duration, answer Answer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.link.pending, n.link.failures, n.link.silent, n.link.heard = false, 0, false, now
	n.link.took = max(n.link.took*9/10, now-n.sentAt)
	fresh := n.link.stamp.Incarnation == 0
	if n.link.life != answer.Stamp.Incarnation {
		// What another life of the hub has granted counts nowhere any more.
		n.dropTokens()
	}
	n.link.stamp, n.link.life = answer.Stamp, answer.Stamp.Incarnation
	if answer.Confirmed && n.nodes > 0 {
		n.vouch(now)
	}
	if n.link.to != n.hub {
		n.ended(now)
		n.link.next = now
		return
	}
	if now-n.sentAt > AnswerTimeout {
		answer.Grants = nil
	}
	for _, g := range answer.Grants {
		if a, known := n.accounts[g.Tenant]; known {
			a.granted(now, n.sentAt, g)
		}
	}
	n.link.next = n.sentAt + n.interval(now)
	if fresh {
		// The share follows once the hub has spoken.
		n.link.next = now
	}
}

// interval is the time between two messages while no request waits.
func (n *Node) interval(now time.Duration) time.Duration {
	if now < n.settled {
		return startInterval
	}
	for _, a := range n.accounts {
		if a.busy(now) {
			return busyInterval
		}
	}
	return calmInterval
}

// ended notes that the hub that has the share uses it no more; what it has granted by it may
// still be spent.
func (n *Node) ended(now time.Duration) {
	if n.link.to == n.lease.to {
		n.lease.until = min(n.lease.until, now+lateLife+clockMargin)
	}
}

// Failed notes that the last message was not answered. A refused connection counts like any
// other failure: where a link is cut, something else may refuse while the hub goes on.
func (n *Node) Failed(now time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.link.pending = false
	n.link.failures++
	if n.link.failures < silentAfter {
		n.link.next = now
		return
	}
	n.link.silent, n.link.stamp = true, Stamp{}
	n.link.next = now + retryPause
	n.withdrawal = false
	n.refresh(now)
}
