package quota

import "time"

// This file asks other hubs for the tokens that a pool lacks, and gives them what it can spare.

// shortage returns the tokens that this pool lacks and other hubs may have. The requested
// tokens fit into the pool's own capacity, so that moved tokens need no expiry.
func (p *pool) shortage(now time.Duration) []Demand {
	p.advance(now)
	if p.part.share <= 0 {
		return nil
	}
	var demands []Demand
	for tenant, b := range p.buckets {
		if b.missing <= 0 {
			continue
		}
		if now-b.requestedAt > missingTerm {
			b.missing = 0
			continue
		}
		b.mint(now, p.part)
		requested := min(b.missing+b.granted.rate(now)*borrowAhead.Seconds()+1, b.freeCapacity(p.part)) - b.level
		if now < b.nextAsk || requested <= 0 {
			continue
		}
		b.lastAsk, b.lastAskAt, b.nextAsk = requested, now, now+askPause
		demands = append(demands, Demand{Tenant: tenant, Limit: b.limit, Requested: requested})
	}
	return demands
}

// mayAskOtherHubs reports whether other hubs may be asked for tokens of a tenant, or were
// asked within AskWait.
func (p *pool) mayAskOtherHubs(now time.Duration, tenant string) bool {
	b := p.buckets[tenant]
	return p.part.share > 0 && (now >= b.nextAsk || now < b.lastAskAt+AskWait)
}

// give moves tokens to another hub: up to all that are available if its own zone has
// requested none recently, else up to half.
func (p *pool) give(now time.Duration, demands []Demand) []Grant {
	var grants []Grant
	for _, w := range demands {
		b := p.bucket(now, w.Tenant, w.Limit)
		spare := max(b.level, 0)
		if b.requestedAt > 0 && now-b.requestedAt < zoneDemandTerm {
			spare /= 2
		}
		moved := min(max(w.Requested, 0), spare)
		b.level -= moved
		grants = append(grants, Grant{Tenant: w.Tenant, Tokens: moved})
	}
	return grants
}

// receive adds tokens that another hub has moved here.
func (p *pool) receive(now time.Duration, grants []Grant) {
	p.advance(now)
	for _, g := range grants {
		b, known := p.buckets[g.Tenant]
		if !known || g.Tokens <= 0 {
			continue
		}
		b.mint(now, p.part)
		b.level += g.Tokens
		b.clip(p.part)
		b.missing = max(b.missing-g.Tokens, 0)
		if g.Tokens >= b.lastAsk*notableShare {
			// The other hubs may have more.
			b.nextAsk = min(b.nextAsk, now+AskGap)
		}
	}
}

// addShortage records that requested tokens were not available, so that other hubs are asked
// for them.
func (p *pool) addShortage(tenant string, tokens float64) { p.buckets[tenant].missing += tokens }
