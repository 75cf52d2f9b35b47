package membership

// Verdict is a node's reaction to a record of itself received from another node.
type Verdict uint8

// The verdicts.
const (
	// VerdictNone: the record is outdated or the node's current one; nothing is to be done.
	VerdictNone Verdict = iota
	// VerdictRefute: the node was reported lost, or its attachment number is too
	// low; it announces itself again with the returned record.
	VerdictRefute
	// VerdictReplaced: a later incarnation runs under the same identifier. The
	// node was paused while it was replaced, and must stop.
	VerdictReplaced
)

// Answer compares a record of the node held by others with the node's own, r,
// and returns the record that the node is to announce from now on.
func (r Record) Answer(held Record) (Record, Verdict) {
	if held.ID != r.ID || !held.Supersedes(r) {
		return r, VerdictNone
	}
	if held.Incarnation > r.Incarnation {
		return r, VerdictReplaced
	}
	r.Attachment = held.Attachment + 1
	return r, VerdictRefute
}

// Attach returns the record with the next attachment number.
func (r Record) Attach() Record {
	r.Attachment++
	return r
}

// With returns the record in the given state.
func (r Record) With(state State) Record {
	r.State = state
	return r
}
