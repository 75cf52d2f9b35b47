package forwarding

import "time"

// repeatHeader is sent with a hop of a call that a worker received before. Nodes that do not know
// the header treat the call as a first attempt.
const repeatHeader = "Levertide-Hop-Repeat"

// firstAttemptShare is the share of the retry budget that the calls of first-time callers may
// use. The rest is reserved for retried calls and for nested calls: these are lost with the next
// refusal, whereas a first-time caller can still retry. When all workers of a service refuse 0.55
// of the calls, one further attempt saves 0.45 calls of retrying callers, and 0.25 of the others.
const firstAttemptShare = 0.6

// repeatedCallShare is the most that a node spends, as a share of its part of the retry budget,
// once the calls of repeated runs are counted. These are mostly admitted beyond the node's own
// part of three quarters, since refusing such a call makes the run that waits for it fail; but
// when all workers of two services shed half of their calls, repeats at the second one would be
// 1.4 times the allowed number.
const repeatedCallShare = 1.2

// repeated reports whether the next offer is a repeat: a worker received the call before, or ran
// its parent before.
func (o *offers) repeated() bool { return o.call.repeat || o.arrivals > 0 }

// spend pays for a repeat from the given share of the node's part of the retry budget. It reports
// false when that is used up.
func (c *call) spend(d *destination, share float64) bool {
	if !d.budget.SpendWithin(time.Now(), share) {
		c.report.RetryDenied = true
		return false
	}
	c.report.Retries++
	return true
}

// retryShare returns the share of the retry budget that the call may use.
func (c *call) retryShare() float64 {
	if c.clientRetry || c.nested {
		return 1
	}
	return firstAttemptShare
}
