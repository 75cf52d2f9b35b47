package quota

import (
	"math"
	"time"
)

// bucket holds the tokens of one tenant at one hub.
type bucket struct {
	limit Limit
	// confirmedAt is when a node last reported this limit or a lower one.
	confirmedAt time.Duration
	// level is the number of tokens that may be granted. It is below zero after a grant of
	// a token of which only a fraction was available.
	level float64
	// mintedUntil is the time up to which tokens have been minted.
	mintedUntil time.Duration
	// loans are the tokens that nodes may still spend, by node. lent is their sum, and
	// firstExpiry is when the first of them expires.
	loans       map[string]loan
	lent        float64
	firstExpiry time.Duration
	// grantThreshold is the fraction of a token that must be available for the next token to
	// be granted. It is drawn at random again after each grant, so that many hubs with
	// fractions of tokens grant as many tokens on average as the sum of these fractions.
	grantThreshold float64
	drawnAt        time.Duration
	// usedAt is when the bucket was last used, requestedAt when tokens were last requested.
	usedAt, requestedAt time.Duration
	// missing is the number of tokens that were requested but not available; other hubs are
	// asked for them. lastAsk is how many tokens the other hubs were last asked for,
	// lastAskAt is when they were asked, and nextAsk is when they may be asked again.
	missing, lastAsk   float64
	lastAskAt, nextAsk time.Duration
	// granted measures the rate at which tokens are taken.
	granted meter
}

// loan holds tokens that a node may spend until a given time.
type loan struct {
	tokens float64
	until  time.Duration
}

// part is the part of each limit that a pool mints for.
type part struct {
	// share is the fraction of the rate and of the burst.
	share float64
	// spare is how many tokens all pools together may hold beyond the burst, so that each can
	// hold a whole token.
	spare float64
}

// capacity is how many tokens of a limit with the given burst a pool may hold and lend.
func (p part) capacity(burst float64) float64 {
	return max(burst*p.share, min((burst+p.spare)*p.share, 1))
}

// mint adds the tokens of a part up to now.
func (b *bucket) mint(now time.Duration, p part) {
	if b.lent > 0 && now >= b.firstExpiry {
		b.expireLoans(now)
	}
	if now > b.mintedUntil {
		b.level += b.limit.Rate * p.share * (now - b.mintedUntil).Seconds()
		b.mintedUntil = now
	}
	b.clip(p)
}

// clip limits the sum of the available and the lent tokens to the capacity.
func (b *bucket) clip(p part) {
	b.level = min(b.level, b.freeCapacity(p))
}

// freeCapacity is how many tokens the bucket may hold in addition to those that are lent.
func (b *bucket) freeCapacity(p part) float64 { return max(p.capacity(b.limit.Burst)-b.lent, 0) }

func (b *bucket) expireLoans(now time.Duration) {
	b.lent = 0
	for node, l := range b.loans {
		if now >= l.until {
			delete(b.loans, node)
			continue
		}
		if b.lent == 0 || l.until < b.firstExpiry {
			b.firstExpiry = l.until
		}
		b.lent += l.tokens
	}
}

// setLoan replaces the loan of a node.
func (b *bucket) setLoan(node string, l loan) {
	b.lent += l.tokens - b.loans[node].tokens
	if l.tokens <= 0 {
		delete(b.loans, node)
	} else {
		b.loans[node] = l
	}
	if len(b.loans) == 0 {
		b.lent = 0
	}
	if len(b.loans) == 1 || l.until < b.firstExpiry {
		b.firstExpiry = l.until
	}
}

// followLimit applies a limit that a node has reported. While nodes run different versions
// of the configuration the lower limit counts. A higher one counts once no node has reported
// the lower one for limitMemory.
func (b *bucket) followLimit(now time.Duration, reported Limit) {
	low := lower(reported, b.limit)
	switch {
	case low != b.limit:
		b.limit, b.confirmedAt = low, now
	case reported == b.limit:
		b.confirmedAt = now
	case now-b.confirmedAt > limitMemory:
		b.limit, b.confirmedAt = reported, now
	}
}

// takeWhole takes whole tokens: as many as requested, or fewer if fewer are available.
func (b *bucket) takeWhole(now time.Duration, requested float64, draw func() float64) float64 {
	if now-b.drawnAt >= drawTerm {
		b.grantThreshold, b.drawnAt = 1-draw(), now
	}
	n := min(requested, math.Floor(max(b.level+1-b.grantThreshold, 0)))
	if n < 1 {
		return 0
	}
	b.level -= n
	b.granted.add(now, n)
	b.grantThreshold, b.drawnAt = 1-draw(), now
	return n
}

// untilNext is the time until another token is available.
func (b *bucket) untilNext(p part) time.Duration {
	minted := b.limit.Rate * p.share
	if minted <= 0 {
		return unknownWait
	}
	return max(time.Duration((b.grantThreshold-b.level)/minted*float64(time.Second)), 0)
}
