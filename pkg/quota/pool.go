package quota

import (
	"cmp"
	"slices"
	"time"
)

const (
	// tokenLife is how long a node may spend tokens that it was granted, counted from when
	// it asked. The hub counts until lateLife after the grant.
	tokenLife = 500 * time.Millisecond
	lateLife  = tokenLife + clockMargin
	// clockMargin is for clocks that do not run at the same speed, and for a request that
	// was admitted and not yet sent on.
	clockMargin = 50 * time.Millisecond
	// useTerm is how long a hub uses a share that was leased to it, counted from the stamp
	// that came with the message. One message may be lost.
	useTerm = time.Second
	// limitMemory is for how long a lower limit counts that somebody has told.
	limitMemory = time.Second
	// drawTerm is for how long one draw decides whether a part of a token counts as a whole
	// one: with a new draw for each try, every part would soon be granted.
	drawTerm = 5 * time.Second
	// forgetTerm is after which time a tenant or a node that was not heard of is forgotten.
	forgetTerm = time.Minute
	// forgetPause is the time between two looks at what that is.
	forgetPause = time.Second
	// askPause is how long other hubs are left alone that had nothing to give.
	askPause = 150 * time.Millisecond
	// notableShare is the share of what was asked for from which on it is worth asking the
	// other hubs again soon.
	notableShare = 0.1
	// missingTerm is how long a hub asks others for tokens that were missing: by then the
	// requests that lacked them have been refused.
	missingTerm = 60 * time.Millisecond
	// wantedTerm is for how long a hub that was asked for tokens keeps half of what it has
	// for its own zone.
	wantedTerm = 250 * time.Millisecond
	// unknownWait is told where nothing is known of when there are tokens.
	unknownWait = 250 * time.Millisecond
	// longestHistory bounds the changes of the share that are kept for buckets to come.
	longestHistory = 256
)

// pool is the tokens that one node mints for the shares that it holds.
type pool struct {
	life uint64
	// opens is from when on shares may be leased: a former life may have granted tokens
	// that are still spent.
	opens time.Duration
	draw  func() float64
	// spare is how many tokens all hubs together may hold beyond a burst.
	spare float64
	// own is the share of the node itself, while it leases it to nobody, and part what is
	// minted for by all shares.
	own       float64
	part      part
	borrowers map[string]*borrower
	// firstEnd is before the first lease ends.
	firstEnd time.Duration
	// history are the latest changes of the share: a bucket that is made later has the
	// tokens that were minted meanwhile.
	history []change
	buckets map[string]*bucket
	// zone are the other nodes of the zone, lost ones among them.
	zone []string
	// lastLoan is when tokens were last lent to another node.
	lastLoan time.Duration
	lentAny  bool
}

// borrower is what a hub knows of a node.
type borrower struct {
	life, number uint64
	share        float64
	until        time.Duration
	heard        time.Duration
	// born is when this life was first heard of.
	born time.Duration
	// vouches tells that the node, when it was heard, held no share of others and no token
	// that a former life of this hub or another hub has granted.
	vouches bool
}

// change is a change of what a pool mints for.
type change struct {
	at   time.Duration
	part part
}

func newPool(life uint64, now time.Duration, spare float64, draw func() float64) *pool {
	return &pool{
		life: life, opens: now + lateLife, spare: spare, draw: draw,
		borrowers: map[string]*borrower{}, buckets: map[string]*bucket{},
	}
}

// advance ends the leases that are over.
func (p *pool) advance(now time.Duration) {
	if p.firstEnd == 0 || now < p.firstEnd {
		return
	}
	var ended []*borrower
	p.firstEnd = 0
	for _, b := range p.borrowers {
		switch {
		case b.share == 0:
		case now >= b.until:
			ended = append(ended, b)
		default:
			p.endsBy(b.until)
		}
	}
	slices.SortFunc(ended, func(a, b *borrower) int { return cmp.Compare(a.until, b.until) })
	for _, b := range ended {
		b.share = 0
		p.shareChanged(b.until)
	}
}

func (p *pool) endsBy(at time.Duration) {
	if p.firstEnd == 0 || at < p.firstEnd {
		p.firstEnd = at
	}
}

// setOwn sets the share of the node itself.
func (p *pool) setOwn(now time.Duration, own float64) {
	if own == p.own {
		return
	}
	p.advance(now)
	p.own = own
	p.shareChanged(now)
}

// shareChanged mints by the former share up to a moment, and by the shares held from then on.
func (p *pool) shareChanged(at time.Duration) {
	former := p.part
	p.part = part{share: p.own}
	for _, b := range p.borrowers {
		p.part.share += b.share
	}
	if p.part.share > p.own {
		// Only hubs get spare tokens: nodes that use nothing but their own share may be many,
		// and what each of them held beyond the burst would add up.
		p.part.spare = p.spare
	}
	for _, b := range p.buckets {
		b.settle(at, former)
		b.clip(p.part)
	}
	p.history = append(p.history, change{at: at, part: p.part})
	if len(p.history) > longestHistory {
		p.history = slices.Delete(p.history, 0, 1)
	}
}

// bucket returns the tokens of a tenant as they are now.
func (p *pool) bucket(now time.Duration, tenant string, limit Limit) *bucket {
	p.advance(now)
	b, known := p.buckets[tenant]
	if !known {
		b = p.newBucket(limit)
		p.buckets[tenant] = b
	}
	b.used = now
	b.settle(now, p.part)
	b.follow(now, limit)
	b.clip(p.part)
	return b
}

// newBucket returns a bucket with the tokens that were minted since the share is known.
func (p *pool) newBucket(limit Limit) *bucket {
	b := &bucket{limit: limit, loans: map[string]loan{}, least: 1 - p.draw()}
	var held part
	for _, c := range p.history {
		if b.at == 0 {
			b.at = c.at
		}
		b.settle(c.at, held)
		held = c.part
		b.clip(held)
	}
	return b
}

// take takes one token for a request of this node. Where there is none it returns the time
// until the next.
func (p *pool) take(now time.Duration, tenant string, limit Limit) (next time.Duration, ok bool) {
	b := p.bucket(now, tenant, limit)
	b.asked = now
	if b.whole(now, 1, p.draw) == 1 {
		return 0, true
	}
	return b.next(p.part), false
}

// lack notes that tokens were wanted that are not there, for other hubs to be asked.
func (p *pool) lack(tenant string, tokens float64) { p.buckets[tenant].missing += tokens }

// giveBack takes tokens back that were not spent. What exceeds the burst is lost.
func (p *pool) giveBack(now time.Duration, tenant string, limit Limit, tokens float64) {
	b := p.bucket(now, tenant, limit)
	b.level += tokens
	b.clip(p.part)
}

// serve answers a node.
func (p *pool) serve(now time.Duration, r Request) Answer {
	p.advance(now)
	answer := Answer{Stamp: Stamp{Incarnation: p.life, At: now}}
	from, fresh := p.hear(now, r)
	if !fresh {
		return answer
	}
	p.lease(now, from, r)
	answer.Confirmed = p.vouched(r.Node, from.born)
	for _, w := range r.Demands {
		g := p.grant(now, r.Node, w)
		if g.Next > 0 {
			p.lack(w.Tenant, w.Requested-g.Tokens)
		}
		answer.Grants = append(answer.Grants, g)
	}
	return answer
}

// complete grants what an answer lacks, unless the node has sent another message meanwhile:
// then it does not get this answer any more.
func (p *pool) complete(now time.Duration, r Request, answer Answer) Answer {
	p.advance(now)
	from, known := p.borrowers[r.Node]
	if !known || from.life != r.Incarnation || from.number != r.Number {
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

// hear notes a message. It reports whether it is newer than all that came before: one that
// came late or twice must not change what a later one has told.
func (p *pool) hear(now time.Duration, r Request) (*borrower, bool) {
	from, known := p.borrowers[r.Node]
	if !known {
		from = &borrower{}
		p.borrowers[r.Node] = from
	}
	if r.Incarnation < from.life || r.Incarnation == from.life && r.Number <= from.number {
		return from, false
	}
	if r.Incarnation != from.life {
		from.born = now
	}
	from.life, from.number, from.heard = r.Incarnation, r.Number, now
	// Who brings back a stamp of this life has dropped the tokens of the one before.
	from.vouches = !r.HoldsLeasedShares && r.Stamp.Incarnation == p.life
	return from, true
}

// vouched reports whether all other nodes of the zone have vouched since a node has begun its
// life: then nobody holds a share of a former life of it, or tokens that were granted by it.
func (p *pool) vouched(node string, born time.Duration) bool {
	for _, id := range p.zone {
		if from, known := p.borrowers[id]; id != node && (!known || !from.heldNothing(born)) {
			return false
		}
	}
	return true
}

func (b *borrower) heldNothing(since time.Duration) bool {
	return b.vouches && b.heard >= since
}

// lease takes the share that a node leases to this one, until a term after the stamp that
// the message brings back: the node counts from when it made the message, which is later.
func (p *pool) lease(now time.Duration, from *borrower, r Request) {
	share, until := min(max(r.Share, 0), 1), r.Stamp.At+useTerm
	if r.Stamp.Incarnation != p.life || now >= until || now < p.opens {
		share = 0
	}
	if share > 0 {
		from.until = until
		p.endsBy(until)
	}
	if share != from.share {
		from.share = share
		p.shareChanged(now)
	}
}

// grant lends tokens to a node.
func (p *pool) grant(now time.Duration, node string, w Demand) Grant {
	b := p.bucket(now, w.Tenant, w.Limit)
	returned := min(max(w.Returned, 0), b.limit.Burst)
	held := min(max(w.Held, 0), b.loans[node].tokens)
	b.setLoan(node, loan{tokens: held, until: now + lateLife})
	b.level += returned
	b.clip(p.part)
	g := Grant{Tenant: w.Tenant}
	if w.Requested > 0 {
		b.asked = now
		g.Tokens = b.whole(now, w.Requested, p.draw)
	}
	if g.Tokens < w.Requested {
		g.Next = max(b.next(p.part), 1)
	}
	// What is for requests that wait counts as spent.
	kept := held + max(g.Tokens-w.Waiting, 0)
	b.setLoan(node, loan{tokens: kept, until: now + lateLife})
	p.lent(now, kept+g.Tokens)
	return g
}

// lent notes that a node holds tokens of this pool.
func (p *pool) lent(now time.Duration, tokens float64) {
	if tokens > 0 {
		p.lastLoan, p.lentAny = now, true
	}
}

// free returns from when on no token can be spent that this pool has lent by now.
func (p *pool) free(now time.Duration) time.Duration {
	if !p.lentAny || now >= p.lastLoan+lateLife {
		return now
	}
	return now + lateLife
}

// shortage returns what this pool lacks and other hubs may have. What it asks for fits in
// its own part of the burst, so that moved tokens need no end.
func (p *pool) shortage(now time.Duration) []Demand {
	p.advance(now)
	if p.part.share <= 0 {
		return nil
	}
	var wants []Demand
	for tenant, b := range p.buckets {
		if b.missing <= 0 {
			continue
		}
		if now-b.asked > missingTerm {
			b.missing = 0
			continue
		}
		b.settle(now, p.part)
		wanted := min(b.missing+b.granted.rate(now)*ahead.Seconds()+1, b.room(p.part)) - b.level
		if now < b.nextAsk || wanted <= 0 {
			continue
		}
		b.lastAsk, b.lastAskAt, b.nextAsk = wanted, now, now+askPause
		wants = append(wants, Demand{Tenant: tenant, Limit: b.limit, Requested: wanted})
	}
	return wants
}

// asks reports whether other hubs may be asked for tokens of a tenant, or were just now.
func (p *pool) asks(now time.Duration, tenant string) bool {
	b := p.buckets[tenant]
	return p.part.share > 0 && (now >= b.nextAsk || now < b.lastAskAt+AskWait)
}

// give moves tokens to another hub: all where the own zone wants none, else half.
func (p *pool) give(now time.Duration, wants []Demand) []Grant {
	var grants []Grant
	for _, w := range wants {
		b := p.bucket(now, w.Tenant, w.Limit)
		spare := max(b.level, 0)
		if b.asked > 0 && now-b.asked < wantedTerm {
			spare /= 2
		}
		moved := min(max(w.Requested, 0), spare)
		b.level -= moved
		grants = append(grants, Grant{Tenant: w.Tenant, Tokens: moved})
	}
	return grants
}

// receive takes tokens that another hub has moved.
func (p *pool) receive(now time.Duration, grants []Grant) {
	p.advance(now)
	for _, g := range grants {
		b, known := p.buckets[g.Tenant]
		if !known || g.Tokens <= 0 {
			continue
		}
		b.settle(now, p.part)
		b.level += g.Tokens
		b.clip(p.part)
		b.missing = max(b.missing-g.Tokens, 0)
		if g.Tokens >= b.lastAsk*notableShare {
			// There may be more.
			b.nextAsk = min(b.nextAsk, now+AskGap)
		}
	}
}

// forget drops tenants and nodes that were not heard of for long.
func (p *pool) forget(now time.Duration) {
	for tenant, b := range p.buckets {
		if now-b.used > forgetTerm {
			delete(p.buckets, tenant)
		}
	}
	for node, b := range p.borrowers {
		if b.share == 0 && now-b.heard > forgetTerm {
			delete(p.borrowers, node)
		}
	}
}
