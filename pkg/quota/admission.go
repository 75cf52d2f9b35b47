package quota

import "time"

// Ask tells who may have a token for a request.
type Ask uint8

// The values of Ask.
const (
	AskNobody Ask = iota
	// AskHub: the hub of the zone, by the message to come.
	AskHub
	// AskOtherHubs: the hubs of other zones.
	AskOtherHubs
)

// Decision is what becomes of a request.
type Decision struct {
	Admitted bool
	// Ask tells who may have a token: the request is decided when they have answered, by
	// Settle.
	Ask Ask
	// RetryAfter is when a request that was refused may be admitted.
	RetryAfter time.Duration
}

// Take decides on a request.
func (n *Node) Take(now time.Duration, tenant string, limit Limit) Decision {
	return n.decide(now, tenant, limit, true)
}

// Settle decides on a request for which others were asked.
func (n *Node) Settle(now time.Duration, tenant string, limit Limit) Decision {
	return n.decide(now, tenant, limit, false)
}

func (n *Node) decide(now time.Duration, tenant string, limit Limit, first bool) Decision {
	if limit.Unlimited() {
		return Decision{Admitted: true}
	}
	raised := n.options.Tolerance.raise(limit)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refresh(now)
	a := n.account(now, tenant, raised)
	if first {
		a.taken.add(now, 1)
	}
	if a.spend(now) {
		return n.admit(now, a)
	}
	next := max(a.deniedUntil-now, 0)
	if n.own() {
		wait, ok := n.pool.take(now, tenant, raised)
		if ok {
			return n.admit(now, a)
		}
		next = wait
		if first && n.hub == n.options.ID && n.pool.asks(now, tenant) {
			n.pool.lack(tenant, 1)
			return Decision{Ask: AskOtherHubs}
		}
	} else if first && n.hub != "" && !n.link.silent && now >= a.deniedUntil {
		a.waiting++
		return Decision{Ask: AskHub}
	}
	return n.refuse(now, a, raised, next)
}

// refuse refuses a request; next is the time until a token is expected.
func (n *Node) refuse(now time.Duration, a *account, raised Limit, next time.Duration) Decision {
	if n.pool.part.share == 0 && now < n.settled {
		// This node has just started. Mostly its zone vouches for it before it is settled.
		next = max(next, min(n.settled-now, unknownWait))
	}
	leastPace := raised.Rate / float64(max(n.nodes, 1))
	return Decision{RetryAfter: a.retryAfter(now, next, leastPace, n.options.Draw())}
}

func (n *Node) admit(now time.Duration, a *account) Decision {
	a.admitted.add(now, 1)
	return Decision{Admitted: true}
}

// account returns what this node has of a tenant.
func (n *Node) account(now time.Duration, tenant string, limit Limit) *account {
	a, known := n.accounts[tenant]
	if !known {
		a = &account{limit: limit}
		n.accounts[tenant] = a
	}
	a.follow(limit)
	a.used = now
	return a
}

// Return gives back the token of a request that did not run. It goes to the pool that
// serves this node now, and is lost where that is full: the request may have taken it long
// ago.
func (n *Node) Return(now time.Duration, tenant string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	a, known := n.accounts[tenant]
	if !known {
		return
	}
	n.refresh(now)
	if n.own() {
		n.pool.giveBack(now, tenant, a.limit, 1)
		return
	}
	a.returned++
}
