package forwarding

import (
	"slices"
	"testing"
)

// TestRanksInOrder lists ranks in the order in which their calls are to be served.
func TestRanksInOrder(t *testing.T) {
	parent := func(tenant, route int) parentCall {
		return parentCall{tenant: "acme", rank: rankOf(tenant, route, stepFirst)}
	}
	public := func(route int) parentCall { return parentCall{rank: rankOf(route, route, stepFirst)} }
	for _, order := range [][]int{
		{nestedRank, rankOf(0, 0, stepNested), rankOf(0, 0, stepFirst), rankOf(0, 0, stepRetry), rankOf(0, 1, stepNested), rankOf(1, 0, stepNested)},
		{rankOf(0, 2*routeRanks, stepRetry), rankOf(1, 0, stepNested)},
		{rankOf(0, 2, stepRetry), nestedRankOf(parent(1, 2)), rankOf(1, 1, stepFirst), rankOf(1, 2, stepNested)},
		{nestedRankOf(parent(1, 1)), rankOf(1, 0, stepFirst), nestedRankOf(parent(1, 2)), rankOf(1, 1, stepFirst)},
		{nestedRankOf(parent(1, 0)), rankOf(1, 0, stepFirst)},
		{nestedRankOf(public(2)), rankOf(1, 1, stepFirst), rankOf(2, 2, stepFirst)},
		{nestedRankOf(parentCall{rank: nestedRank}), rankOf(0, 0, stepNested)},
	} {
		if !slices.IsSorted(order) || len(slices.Compact(slices.Clone(order))) != len(order) {
			t.Errorf("ranks %v are not in order", order)
		}
	}
}
