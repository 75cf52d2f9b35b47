package quota

import (
	"math"
	"time"
)

const (
	// readyTerm is how long tokens are kept for the requests that wait for them.
	readyTerm = 20 * time.Millisecond
	// activeTerm is how long after a request a tenant is told to the hub.
	activeTerm = time.Second
	// shortestRetryAfter and longestRetryAfter bound the time to come back for callers.
	shortestRetryAfter = 50 * time.Millisecond
	longestRetryAfter  = 3 * time.Second
)

// account is what one node has of a tenant.
type account struct {
	limit Limit
	// held are tokens borrowed from the hub, to be spent before expires.
	held    float64
	expires time.Duration
	// ready are tokens for the requests that wait for the answer that has come; what is
	// left of them at readyUntil goes back. asked is how many the last message asked for.
	ready, asked float64
	// askedBy is the limit that the last message told.
	askedBy    Limit
	readyUntil time.Duration
	// returned are units given back since the last message.
	returned float64
	// taken are the requests that came.
	taken meter
	// waiting are requests that wait for the answer to the next message.
	waiting float64
	used    time.Duration
	// deniedUntil is until when the hub is not asked on demand.
	deniedUntil time.Duration
	// admitted are the requests that were admitted. turn is when the caller that was refused
	// last was told to come back.
	admitted meter
	turn     time.Duration
}

// follow takes the limit of the version in force at this node.
func (a *account) follow(limit Limit) {
	if limit == a.limit {
		return
	}
	a.held = fallen(a.held, a.limit, limit)
	a.limit = limit
}

// fallen returns what is left of tokens that were granted under another limit.
func fallen(tokens float64, granted, limit Limit) float64 {
	if limit.Rate < granted.Rate {
		tokens *= limit.Rate / granted.Rate
	}
	return math.Floor(min(tokens, max(limit.Burst, 1)))
}

// spend takes one of the borrowed tokens.
func (a *account) spend(now time.Duration) bool {
	if a.ready >= 1 && now < a.readyUntil {
		a.ready--
		return true
	}
	if now >= a.expires {
		a.held = 0
	}
	if a.held < 1 {
		return false
	}
	a.held--
	return true
}

// busy reports whether the tenant is told to the hub.
func (a *account) busy(now time.Duration) bool {
	return a.held > 0 || a.ready > 0 || a.returned > 0 || a.waiting > 0 || a.used+activeTerm > now
}

// demand returns what the node needs for the tenant; false when the account is not active.
func (a *account) demand(now time.Duration) (Demand, bool) {
	if now >= a.expires {
		a.held = 0
	}
	a.returned += a.ready
	a.ready = 0
	if !a.busy(now) {
		return Demand{}, false
	}
	need := a.waiting + math.Floor(a.taken.rate(now)*ahead.Seconds())
	excess := max(math.Floor(a.held-need), 0)
	a.held -= excess
	w := Demand{Limit: a.limit, Held: a.held, Returned: a.returned + excess}
	w.Requested = max(math.Ceil(need-a.held), 0)
	w.Waiting = min(a.waiting, w.Requested)
	a.asked, a.askedBy, a.returned, a.waiting = w.Waiting, a.limit, 0, 0
	return w, true
}

// granted takes tokens that were asked for at the given moment.
func (a *account) granted(now, asked time.Duration, g Grant) {
	if a.limit != a.askedBy {
		// The limit may have fallen while the answer was on its way.
		g.Tokens = fallen(g.Tokens, a.askedBy, a.limit)
	}
	a.ready, a.readyUntil = min(g.Tokens, a.asked), now+readyTerm
	a.held += g.Tokens - a.ready
	a.expires = asked + tokenLife
	a.deniedUntil = 0
	if g.Next > 0 && g.Tokens == 0 {
		a.deniedUntil = now + min(max(g.Next, shortestDenial), longestDenial)
	}
}

// retryAfter returns after which time a refused caller is to come back. Each gets a turn of
// its own, at the pace at which this node admits, and leastPace at least. When turns reach
// beyond longestRetryAfter, callers are spread over the later half of that.
func (a *account) retryAfter(now, next time.Duration, leastPace, draw float64) time.Duration {
	pace := max(a.admitted.rate(now), leastPace)
	a.turn = max(a.turn, now+next) + time.Duration(float64(time.Second)/pace)
	if wait := a.turn - now; wait < longestRetryAfter {
		return max(wait, shortestRetryAfter)
	}
	a.turn = now + longestRetryAfter
	return time.Duration(float64(longestRetryAfter) * (1 + draw) / 2)
}
