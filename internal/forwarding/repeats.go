package forwarding

import "time"

// repeatHeader goes with a hop of a call that a worker had before. Nodes that do not know
// the header take the call for a first one.
const repeatHeader = "Levertide-Hop-Repeat"

// firstAttemptShare is the share of the retry budget that callers may use which come for the
// first time. The rest is kept for those that come back, and for calls of workers: these
// are lost with the next refusal, where a first one can still come back. When all workers of a service
// turn away 0.55 of what comes, a retry saves 0.45 calls of callers that come back, and 0.25 of the others.
const firstAttemptShare = 0.6

// repeatedCallShare is the share of its part of the retry budget that a node spends at most with the calls
// of repeated runs counted. They are mostly let through beyond its own part of three quarters, since a
// call that is refused makes the run fail which waits for it; but when all workers of two services shed half
// of what comes, repeats at the second one would be 1.4 times what it is allowed.
const repeatedCallShare = 1.2

// repeated reports whether what is offered next is a repeat: a worker had the call before,
// or ran the call that it belongs to.
func (o *offers) repeated() bool { return o.call.repeat || o.arrivals > 0 }

// spend pays for a repeat, from a share of the node's part of the retry budget. It reports false when
// that is used up.
func (c *call) spend(d *destination, share float64) bool {
	if !d.budget.SpendWithin(time.Now(), share) {
		c.report.RetryDenied = true
		return false
	}
	c.report.Retries++
	return true
}

// retryShare is the share of the retry budget that the call may use.
func (c *call) retryShare() float64 {
	if c.clientRetry || c.nested {
		return 1
	}
	return firstAttemptShare
}
