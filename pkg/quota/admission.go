package quota

import "time"

// Ask says which nodes may have a token for a request.
type Ask uint8

// The values of Ask.
const (
	AskNobody Ask = iota
	// AskHub: the hub of the zone, to be asked by the next message.
	AskHub
	// AskOtherHubs: the hubs of other zones.
	AskOtherHubs
)

// Decision is the decision on a request.
type Decision struct {
	Admitted bool
	// Ask says which nodes may have a token. Unless it is AskNobody, the request is not
	// decided yet: call Settle when these nodes have answered.
	Ask Ask
	// RetryAfter is the time after which a refused request may be admitted.
	RetryAfter time.Duration
}

// Take decides on a request.
func (n *Node) Take(now time.Duration, tenant string, limit Limit) Decision {
	return n.decide(now, tenant, limit, true)
}

// Settle decides on a request for which other nodes were asked for a token.
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
		a.arrivals.add(now, 1)
	}
	if a.spend(now) {
		return n.admit(now, a)
	}
	next := max(a.deniedUntil-now, 0)
	if n.usesOwnPool() {
		wait, ok := n.pool.take(now, tenant, raised)
		if ok {
			return n.admit(now, a)
		}
		next = wait
		if first && n.hub == n.options.ID && n.pool.mayAskOtherHubs(now, tenant) {
			n.pool.addShortage(tenant, 1)
			return Decision{Ask: AskOtherHubs}
		}
	} else if first && n.hub != "" && !n.link.unresponsive && now >= a.deniedUntil {
		a.waiting++
		return Decision{Ask: AskHub}
	}
	return n.refuse(now, a, raised, next)
}

// refuse refuses a request; next is the time until a token is expected.
func (n *Node) refuse(now time.Duration, a *account, raised Limit, next time.Duration) Decision {
	if n.pool.part.share == 0 && now < n.settledAt {
		// This node has just started. Usually its zone confirms before settleTime is over
		// that it may use its share.
		next = max(next, min(n.settledAt-now, unknownWait))
	}
	minimumRate := raised.Rate / float64(max(n.nodes, 1))
	return Decision{RetryAfter: a.retryAfter(now, next, minimumRate, n.options.Draw())}
}

func (n *Node) admit(now time.Duration, a *account) Decision {
	a.admitted.add(now, 1)
	return Decision{Admitted: true}
}

// account returns the account of a tenant. It creates it if there is none.
func (n *Node) account(now time.Duration, tenant string, limit Limit) *account {
	a, known := n.accounts[tenant]
	if !known {
		a = &account{limit: limit}
		n.accounts[tenant] = a
	}
	a.setLimit(limit)
	a.usedAt = now
	return a
}

// Return gives back the token of a request that did not run. It goes to the pool that
// currently serves this node, and is lost if that pool is full: the request may have taken
// it long ago.
func (n *Node) Return(now time.Duration, tenant string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	a, known := n.accounts[tenant]
	if !known {
		return
	}
	n.refresh(now)
	if n.usesOwnPool() {
		n.pool.giveBack(now, tenant, a.limit, 1)
		return
	}
	a.returned++
}
