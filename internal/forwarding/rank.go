package forwarding

// step orders the calls of one tenant and route.
type step int

const (
	// stepNested is that of calls that a worker makes for another one.
	stepNested step = iota
	// stepFirst is that of callers that come for the first time, stepBack that of those
	// that were refused before.
	stepFirst
	stepRetry
	rankSteps
)

// routeRanks is how many ranks of routes one rank of a tenant holds. Higher ones count
// as the highest.
const routeRanks = 1000

// rankOf orders calls by the ranks of tenant and route, of which the former goes first, and
// by their step within them. A call without a tenant has the rank of its route for both.
func rankOf(tenant, route int, s step) int {
	bounded := func(rank int) int { return min(max(rank, 0), routeRanks-1) }
	return (bounded(tenant)*routeRanks+bounded(route))*int(rankSteps) + int(s)
}

// nestedRankOf returns the rank of a call that a worker makes for another one. When it fails,
// the work on that one is lost, too: it goes before the calls of the next lower rank of a
// route, and before those of its own where there is no lower one.
func nestedRankOf(parent parentCall) int {
	if parent.rank < 0 {
		return parent.rank
	}
	ranks := parent.rank / int(rankSteps)
	tenant, route := ranks/routeRanks, max(ranks%routeRanks-1, 0)
	if parent.tenant == "" {
		tenant = route
	}
	return rankOf(tenant, route, stepNested)
}

// step returns the step of a call of a caller.
func (c *call) step() step {
	if c.clientRetry {
		return stepRetry
	}
	return stepFirst
}
