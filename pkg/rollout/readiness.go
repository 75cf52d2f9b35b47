package rollout

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MemberSum is an order-independent sum over a set of members: how many there are,
// and the sum of a hash of each member's identifier and incarnation. Two sets
// with the same sum are taken to be the same set, so that a relay can add up
// the sums of its children without listing the members, and a member counted
// twice while it moves between parents shows as a difference.
type MemberSum struct {
	Count uint32
	Hash  uint64
}

// SumOf returns the sum of a set with this one member.
func SumOf(nodeID string, incarnation uint64) MemberSum {
	digest := xxhash.New()
	_, _ = digest.WriteString(nodeID)
	var suffix [9]byte
	for i := range 8 {
		suffix[i+1] = byte(incarnation >> (8 * i))
	}
	_, _ = digest.Write(suffix[:])
	return MemberSum{Count: 1, Hash: digest.Sum64()}
}

// Plus returns the sum of the union of two disjoint sets.
func (s MemberSum) Plus(other MemberSum) MemberSum {
	return MemberSum{Count: s.Count + other.Count, Hash: s.Hash + other.Hash}
}

// Minus returns the sum without the members of a subset.
func (s MemberSum) Minus(other MemberSum) MemberSum {
	return MemberSum{Count: s.Count - other.Count, Hash: s.Hash - other.Hash}
}

// MaxListedNodes bounds the nodes that a summary lists by name.
const MaxListedNodes = 8

// NodeReason names a node and says why it refused a version or lags behind.
type NodeReason struct {
	Node   string
	Reason string
}

// Readiness summarizes a subtree: which nodes have staged the proposed version,
// which refuse it, which run the committed one, and some of those that do not yet.
type Readiness struct {
	// Proposed is the version that Ready and Refused are about; zero when none.
	Proposed Version
	Ready    MemberSum
	// Refused lists refusals, at most MaxListedNodes of them.
	Refused []NodeReason
	// Committed is the version that InForce is about.
	Committed Version
	InForce   MemberSum
	// Lagging lists some of the nodes that do not run the committed version yet, at most
	// MaxListedNodes of them.
	Lagging []NodeReason
}

// MergeReadiness combines the summaries of two disjoint subtrees. If they are about
// different versions, only the sums of the higher version count.
func MergeReadiness(a, b Readiness) Readiness {
	merged := Readiness{
		Proposed:  max(a.Proposed, b.Proposed),
		Committed: max(a.Committed, b.Committed),
	}
	for _, part := range [...]Readiness{a, b} {
		if part.Proposed == merged.Proposed {
			merged.Ready = merged.Ready.Plus(part.Ready)
			merged.Refused = mergeReasons(merged.Refused, part.Refused)
		}
		if part.Committed == merged.Committed {
			merged.InForce = merged.InForce.Plus(part.InForce)
		}
		merged.Lagging = mergeReasons(merged.Lagging, part.Lagging)
	}
	return merged
}

// mergeReasons returns the first MaxListedNodes reasons of both lists in the
// order of their nodes, so that the order of merging does not matter.
func mergeReasons(a, b []NodeReason) []NodeReason {
	if len(b) == 0 {
		return a
	}
	merged := slices.Concat(a, b)
	slices.SortFunc(merged, func(left, right NodeReason) int {
		return cmp.Or(cmp.Compare(left.Node, right.Node), cmp.Compare(left.Reason, right.Reason))
	})
	merged = slices.Compact(merged)
	return merged[:min(len(merged), MaxListedNodes)]
}
