package quota

import (
	"slices"
	"time"
)

const (
	// tokenLifetime is how long a node may spend tokens that it was granted, counted from its
	// request. The hub counts them as lent until loanTerm after the grant.
	tokenLifetime = 500 * time.Millisecond
	loanTerm      = tokenLifetime + clockMargin
	// clockMargin covers clocks that do not run at the same speed, and requests that were
	// admitted and not yet forwarded.
	clockMargin = 50 * time.Millisecond
	// leaseUseTerm is how long a hub uses a share that was leased to it, counted from the
	// stamp in the message. It is long enough for one message to be lost.
	leaseUseTerm = time.Second
	// limitMemory is how long a lower limit counts after a node has reported it.
	limitMemory = time.Second
	// drawTerm is how long one random draw decides whether a fraction of a token counts as a
	// whole one: with a new draw for each attempt, every fraction would soon be granted.
	drawTerm = 5 * time.Second
	// forgetTerm is the time after which an unused tenant, or a node that was not heard of, is
	// removed.
	forgetTerm = time.Minute
	// forgetPause is the least time between two searches for entries to remove.
	forgetPause = time.Second
	// askPause is the time before other hubs that had no tokens to give are asked again.
	askPause = 150 * time.Millisecond
	// notableShare is the least fraction of the requested tokens that other hubs must give for
	// it to be worth asking them again soon.
	notableShare = 0.1
	// missingTerm is how long a hub asks other hubs for missing tokens: by then the requests
	// that lacked them have been refused.
	missingTerm = 60 * time.Millisecond
	// zoneDemandTerm is how long, after tokens were last requested in its own zone, a hub
	// keeps half of its tokens for that zone when another hub asks for some.
	zoneDemandTerm = 250 * time.Millisecond
	// unknownWait is the reported wait when it is not known when tokens will be available.
	unknownWait = 250 * time.Millisecond
	// maximumHistory bounds the changes of the share that are kept for new buckets.
	maximumHistory = 256
)

// pool holds the tokens that one node mints for the shares that it holds.
type pool struct {
	incarnation uint64
	// acceptsLeasesFrom is the time from which shares may be leased to this node: before, a
	// previous incarnation may have granted tokens that can still be spent.
	acceptsLeasesFrom time.Duration
	draw              func() float64
	// spare is how many tokens all hubs together may hold beyond a burst.
	spare float64
	// ownShare is the share of the node itself while it is leased to no hub. part is the part
	// of each limit that the pool mints for, from its own and the leased shares.
	ownShare  float64
	part      part
	borrowers map[string]*borrower
	// firstExpiry is not later than the end of the first lease to end; zero without leases.
	firstExpiry time.Duration
	// history holds the latest changes of the share: a bucket that is created later gets the
	// tokens that would have been minted meanwhile.
	history []partChange
	buckets map[string]*bucket
	// zone are the other nodes of the zone, including lost ones.
	zone []string
	// lastLoan is when tokens were last lent to another node, if hasLent is set.
	lastLoan time.Duration
	hasLent  bool
}

// partChange is a change of the part that a pool mints for.
type partChange struct {
	at   time.Duration
	part part
}

func newPool(incarnation uint64, now time.Duration, spare float64, draw func() float64) *pool {
	return &pool{
		incarnation: incarnation, acceptsLeasesFrom: now + loanTerm, spare: spare, draw: draw,
		borrowers: map[string]*borrower{}, buckets: map[string]*bucket{},
	}
}

// setOwn sets the share of the node itself.
func (p *pool) setOwn(now time.Duration, own float64) {
	if own == p.ownShare {
		return
	}
	p.advance(now)
	p.ownShare = own
	p.shareChanged(now)
}

// shareChanged mints for the previous shares up to the given time, and for the shares held
// now from then on.
func (p *pool) shareChanged(at time.Duration) {
	former := p.part
	p.part = part{share: p.ownShare}
	for _, b := range p.borrowers {
		p.part.share += b.share
	}
	if p.part.share > p.ownShare {
		// Only hubs get spare tokens: many nodes may use only their own share, and what each of
		// them held beyond the burst would add up.
		p.part.spare = p.spare
	}
	for _, b := range p.buckets {
		b.mint(at, former)
		b.clip(p.part)
	}
	p.history = append(p.history, partChange{at: at, part: p.part})
	if len(p.history) > maximumHistory {
		p.history = slices.Delete(p.history, 0, 1)
	}
}

// bucket returns the bucket of a tenant, brought up to date. It creates it if there is none.
func (p *pool) bucket(now time.Duration, tenant string, limit Limit) *bucket {
	p.advance(now)
	b, known := p.buckets[tenant]
	if !known {
		b = p.newBucket(limit)
		p.buckets[tenant] = b
	}
	b.usedAt = now
	b.mint(now, p.part)
	b.followLimit(now, limit)
	b.clip(p.part)
	return b
}

// newBucket returns a bucket with the tokens that would have been minted over the recorded
// history of the share.
func (p *pool) newBucket(limit Limit) *bucket {
	b := &bucket{limit: limit, loans: map[string]loan{}, grantThreshold: 1 - p.draw()}
	var held part
	for _, c := range p.history {
		if b.mintedUntil == 0 {
			b.mintedUntil = c.at
		}
		b.mint(c.at, held)
		held = c.part
		b.clip(held)
	}
	return b
}

// take takes one token for a request of this node. If none is available it returns the time
// until the next one.
func (p *pool) take(now time.Duration, tenant string, limit Limit) (next time.Duration, ok bool) {
	b := p.bucket(now, tenant, limit)
	b.requestedAt = now
	if b.takeWhole(now, 1, p.draw) == 1 {
		return 0, true
	}
	return b.untilNext(p.part), false
}

// giveBack adds tokens that were returned unspent. What exceeds the capacity is lost.
func (p *pool) giveBack(now time.Duration, tenant string, limit Limit, tokens float64) {
	b := p.bucket(now, tenant, limit)
	b.level += tokens
	b.clip(p.part)
}

// serve answers the message of a node.
func (p *pool) serve(now time.Duration, r Request) Answer {
	p.advance(now)
	answer := Answer{Stamp: Stamp{Incarnation: p.incarnation, At: now}}
	sender, newest := p.recordMessage(now, r)
	if !newest {
		return answer
	}
	p.lease(now, sender, r)
	answer.Confirmed = p.zoneConfirmed(r.Node, sender.firstHeardAt)
	for _, w := range r.Demands {
		g := p.grant(now, r.Node, w)
		if g.Next > 0 {
			p.addShortage(w.Tenant, w.Requested-g.Tokens)
		}
		answer.Grants = append(answer.Grants, g)
	}
	return answer
}

// complete grants the tokens that an answer lacks, unless the node has sent another message
// meanwhile: then this answer no longer reaches it.
func (p *pool) complete(now time.Duration, r Request, answer Answer) Answer {
	p.advance(now)
	sender, known := p.borrowers[r.Node]
	if !known || sender.incarnation != r.Incarnation || sender.number != r.Number {
		return answer
	}
	for i, g := range answer.Grants {
		if g.Next == 0 {
			continue
		}
		w := r.Demands[i]
		w.Held += max(g.Tokens-w.Waiting, 0)
		w.Waiting = max(w.Waiting-g.Tokens, 0)
		w.Requested -= g.Tokens
		w.Returned = 0
		more := p.grant(now, r.Node, w)
		more.Tokens += g.Tokens
		answer.Grants[i] = more
	}
	return answer
}

// grant lends tokens to a node, and takes back those that it returns.
func (p *pool) grant(now time.Duration, node string, w Demand) Grant {
	b := p.bucket(now, w.Tenant, w.Limit)
	returned := min(max(w.Returned, 0), b.limit.Burst)
	held := min(max(w.Held, 0), b.loans[node].tokens)
	b.setLoan(node, loan{tokens: held, until: now + loanTerm})
	b.level += returned
	b.clip(p.part)
	g := Grant{Tenant: w.Tenant}
	if w.Requested > 0 {
		b.requestedAt = now
		g.Tokens = b.takeWhole(now, w.Requested, p.draw)
	}
	if g.Tokens < w.Requested {
		g.Next = max(b.untilNext(p.part), 1)
	}
	// Tokens for waiting requests count as spent.
	kept := held + max(g.Tokens-w.Waiting, 0)
	b.setLoan(node, loan{tokens: kept, until: now + loanTerm})
	p.noteLoan(now, kept+g.Tokens)
	return g
}

// forget removes unused tenants, and nodes that lease nothing and were not heard of, after
// forgetTerm.
func (p *pool) forget(now time.Duration) {
	for tenant, b := range p.buckets {
		if now-b.usedAt > forgetTerm {
			delete(p.buckets, tenant)
		}
	}
	for node, b := range p.borrowers {
		if b.share == 0 && now-b.heardAt > forgetTerm {
			delete(p.borrowers, node)
		}
	}
}
