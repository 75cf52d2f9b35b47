package membership

import "github.com/levertide/levertide/pkg/rollout"

// stateBits is the width of a State in the number that sum hashes.
const stateBits = 2

// memberSum returns the sum of this one member, as a rollout.Readiness counts it.
func (r *Record) memberSum() rollout.MemberSum {
	return rollout.SumOf(r.ID, r.Incarnation)
}

// sum returns a sum that distinguishes this record from every other record of the node.
func (r *Record) sum() rollout.MemberSum {
	member := rollout.SumOf(r.ID, r.Incarnation)
	change := rollout.SumOf(r.ID, r.Attachment<<stateBits|uint64(r.State))
	// The member's part is multiplied by an odd constant, so that the pairs
	// (incarnation, attachment) and (attachment, incarnation) differ.
	const oddMultiplier = 0x9e3779b97f4a7c15
	return rollout.MemberSum{Count: 1, Hash: member.Hash*oddMultiplier + change.Hash}
}
