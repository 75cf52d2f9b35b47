package rollout

import "time"

// Version is the number of one immutable snapshot. Numbers only rise, and a number
// that was proposed is never reused for other content. Zero means "none".
type Version = uint64

// Head is the one mutable record of the version store: what is committed, and
// what is proposed to follow it.
//
// Invariants: Committed <= HighestUsed; Proposed is zero or greater than
// Committed and at most HighestUsed; Generation rises by exactly one with
// every successful compare-and-swap.
type Head struct {
	// Generation counts the writes of this record. Of two heads the one with
	// the higher generation is the newer.
	Generation uint64 `json:"generation"`
	// Committed is the version that every node is to run.
	Committed Version `json:"committed"`
	// Proposed is the version that nodes are to stage, or zero.
	Proposed Version `json:"proposed"`
	// HighestUsed is the highest version ever proposed, aborted ones included.
	HighestUsed Version `json:"highestUsed"`
	// ApplyID identifies the apply that the last change of this record belongs to.
	ApplyID string `json:"applyId"`
	// LastRejected is the last aborted version with its reason; nil when none was aborted.
	LastRejected *Rejection `json:"lastRejected,omitempty"`
	// ChangedAt is the writer's wall clock, for people only; nothing is decided by it.
	ChangedAt time.Time `json:"changedAt"`
}

// Rejection says why a proposed version was aborted.
type Rejection struct {
	Version Version   `json:"version"`
	ApplyID string    `json:"applyId"`
	Node    string    `json:"node"`
	Reason  string    `json:"reason"`
	At      time.Time `json:"at"`
}

// names reports whether the head proposes or has committed the version that
// the given apply proposed. A version committed by another apply under the
// same number is distinguished as long as the head still names that apply.
func (h Head) names(version Version, applyID string) bool {
	switch version {
	case h.Proposed:
		return h.ApplyID == applyID
	case h.Committed:
		return h.ApplyID == applyID || !h.lastChangeCommitted()
	default:
		return false
	}
}

// lastChangeCommitted reports whether ApplyID is the apply of the committed
// version: nothing is proposed, and the last change was no abort.
func (h Head) lastChangeCommitted() bool {
	aborted := h.LastRejected != nil && h.LastRejected.ApplyID == h.ApplyID
	return h.Proposed == 0 && !aborted
}

// sameRecord reports whether two heads of one generation are the same record.
func (h Head) sameRecord(other Head) bool {
	return h.Committed == other.Committed &&
		h.Proposed == other.Proposed &&
		h.HighestUsed == other.HighestUsed &&
		h.ApplyID == other.ApplyID
}
