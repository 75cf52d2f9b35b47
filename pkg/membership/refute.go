package membership

// Verdict says what a node has to do about a record of itself that it was sent.
type Verdict uint8

// The verdicts.
const (
	// VerdictNone: the record is old or the node's own.
	VerdictNone Verdict = iota
	// VerdictRefute: the node was reported lost, or its attachment is behind;
	// it announces itself again with the returned record.
	VerdictRefute
	// VerdictReplaced: a later incarnation runs under the same identifier. The
	// node was paused past its replacement and must stop.
	VerdictReplaced
)

// Answer compares a record of the node that others hold with the node's own,
// and returns the own record that the node is to announce from now on.
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

// Attach returns the record under the next attachment number.
func (r Record) Attach() Record {
	r.Attachment++
	return r
}

// With returns the record in the given state.
func (r Record) With(state State) Record {
	r.State = state
	return r
}
