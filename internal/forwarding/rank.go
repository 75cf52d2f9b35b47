package forwarding

// step orders the calls of one tenant and route.
type step int

const (
	// stepNested is the step of nested calls.
	stepNested step = iota
	// stepFirst is the step of first attempts of callers, stepRetry that of callers that were
	// refused before.
	stepFirst
	stepRetry
	rankSteps
)

// routeRanks is how many route ranks there are within one tenant rank. Higher route ranks count
// as the highest.
const routeRanks = 1000

// rankOf combines the ranks of tenant and route, in this order, and the step of a call into one
// rank. A call without a tenant has the rank of its route for both.
func rankOf(tenant, route int, s step) int {
	bounded := func(rank int) int { return min(max(rank, 0), routeRanks-1) }
	return (bounded(tenant)*routeRanks+bounded(route))*int(rankSteps) + int(s)
}

// nestedRankOf returns the rank of a nested call. When it fails, the work on its parent is lost,
// too. It therefore goes before the calls of the route rank just ahead of its parent's, or before
// those of the same route rank where none is ahead.
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

// step returns the step of a call that is not nested.
func (c *call) step() step {
	if c.clientRetry {
		return stepRetry
	}
	return stepFirst
}
