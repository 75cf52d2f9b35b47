package rollout

import "time"

// Version numbers one immutable snapshot. Numbers only rise, and a number that
// was proposed is never given to other content. Zero means "none".
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
	// LastRejected says what was aborted last and why; nil when nothing was.
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
