package quota

import (
	"math"
	"time"
)

const (
	// reservationTerm is how long tokens are reserved for the requests that wait for them.
	reservationTerm = 20 * time.Millisecond
	// activeTerm is how long after a request a tenant is reported to the hub.
	activeTerm = time.Second
	// shortestRetryAfter and longestRetryAfter bound the retry time given to callers.
	shortestRetryAfter = 50 * time.Millisecond
	longestRetryAfter  = 3 * time.Second
)

// account is the state of one tenant at one node.
type account struct {
	limit Limit
	// held are tokens borrowed from the hub, to be spent before expires.
	held    float64
	expires time.Duration
	// reserved are granted tokens for the requests that waited for them; what is left of
	// them at reservedUntil is returned to the hub. requestedWaiting is how many tokens the
	// last message requested for waiting requests.
	reserved, requestedWaiting float64
	// requestedUnder is the limit that the last message reported.
	requestedUnder Limit
	reservedUntil  time.Duration
	// returned are the tokens given back since the last message.
	returned float64
	// arrivals measures the rate of arriving requests.
	arrivals meter
	// waiting are requests that wait for the answer to the next message.
	waiting float64
	usedAt  time.Duration
	// deniedUntil is the time until which waiting requests cause no message to the hub.
	deniedUntil time.Duration
	// admitted measures the rate of admitted requests. lastRetryAt is the retry time given to
	// the caller that was refused last.
	admitted    meter
	lastRetryAt time.Duration
}

// setLimit applies the limit of the version in force at this node.
func (a *account) setLimit(limit Limit) {
	if limit == a.limit {
		return
	}
	a.held = scaleToLimit(a.held, a.limit, limit)
	a.limit = limit
}

// scaleToLimit returns how many of the tokens granted under one limit remain valid under
// another limit.
func scaleToLimit(tokens float64, granted, limit Limit) float64 {
	if limit.Rate < granted.Rate {
		tokens *= limit.Rate / granted.Rate
	}
	return math.Floor(min(tokens, max(limit.Burst, 1)))
}

// spend takes one of the borrowed tokens, if there is one.
func (a *account) spend(now time.Duration) bool {
	if a.reserved >= 1 && now < a.reservedUntil {
		a.reserved--
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

// active reports whether the tenant is reported to the hub.
func (a *account) active(now time.Duration) bool {
	return a.held > 0 || a.reserved > 0 || a.returned > 0 || a.waiting > 0 || a.usedAt+activeTerm > now
}

// demand returns what the node needs for the tenant; false when the account is not active.
func (a *account) demand(now time.Duration) (Demand, bool) {
	if now >= a.expires {
		a.held = 0
	}
	a.returned += a.reserved
	a.reserved = 0
	if !a.active(now) {
		return Demand{}, false
	}
	need := a.waiting + math.Floor(a.arrivals.rate(now)*borrowAhead.Seconds())
	excess := max(math.Floor(a.held-need), 0)
	a.held -= excess
	w := Demand{Limit: a.limit, Held: a.held, Returned: a.returned + excess}
	w.Requested = max(math.Ceil(need-a.held), 0)
	w.Waiting = min(a.waiting, w.Requested)
	a.requestedWaiting, a.requestedUnder, a.returned, a.waiting = w.Waiting, a.limit, 0, 0
	return w, true
}

// addGrant adds tokens that were requested at the given time.
func (a *account) addGrant(now, requestedAt time.Duration, g Grant) {
	if a.limit != a.requestedUnder {
		// The limit may have fallen while the answer was in transit.
		g.Tokens = scaleToLimit(g.Tokens, a.requestedUnder, a.limit)
	}
	a.reserved, a.reservedUntil = min(g.Tokens, a.requestedWaiting), now+reservationTerm
	a.held += g.Tokens - a.reserved
	a.expires = requestedAt + tokenLifetime
	a.deniedUntil = 0
	if g.Next > 0 && g.Tokens == 0 {
		a.deniedUntil = now + min(max(g.Next, shortestDenial), longestDenial)
	}
}

// retryAfter returns the time after which a refused caller may retry. Each caller gets its
// own retry time. These are spaced at the rate at which this node admits requests, and at
// minimumRate at least. When they reach beyond longestRetryAfter, callers are spread at
// random over the later half of it.
func (a *account) retryAfter(now, next time.Duration, minimumRate, draw float64) time.Duration {
	rate := max(a.admitted.rate(now), minimumRate)
	a.lastRetryAt = max(a.lastRetryAt, now+next) + time.Duration(float64(time.Second)/rate)
	if wait := a.lastRetryAt - now; wait < longestRetryAfter {
		return max(wait, shortestRetryAfter)
	}
	a.lastRetryAt = now + longestRetryAfter
	return time.Duration(float64(longestRetryAfter) * (1 + draw) / 2)
}
