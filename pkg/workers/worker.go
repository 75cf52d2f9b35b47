package workers

import (
	"net/netip"
	"time"
)

// State says whether a worker may be given work.
type State uint8

// The states of a worker.
const (
	StateReady State = iota + 1
	// StateDraining: the worker finishes the requests it has. Only StateGone can follow.
	StateDraining
	// StateGone: the worker has signed off. Final.
	StateGone
	// StateUnresponsive: no heartbeat arrived within the time limit; the next one ends the state.
	StateUnresponsive
)

// DrainCommitted reports whether the state is a commitment to send no new work.
func (s State) DrainCommitted() bool { return s == StateDraining || s == StateGone }

// String names the state in logs.
func (s State) String() string {
	switch s {
	case StateReady:
		return "ready"
	case StateDraining:
		return "draining"
	case StateGone:
		return "gone"
	case StateUnresponsive:
		return "silent"
	default:
		return "unknown"
	}
}

// Worker is one registration.
type Worker struct {
	// Instance names the worker; a restarted worker may keep its name or get a new one.
	Instance string
	// StartedAt is when this incarnation started, in Unix milliseconds by the worker's
	// clock; zero when the worker does not report it.
	StartedAt int64
	Service   string
	// Address is the zero value of a worker that only a sign-off or a drain of another node tells of.
	Address netip.AddrPort
	// Version is the version of the worker's software; empty when the worker does not report it.
	Version string
	// Slots is how many requests the worker runs at once.
	Slots int
	State State
	// Sequence rises with each heartbeat of one incarnation.
	Sequence uint64
	// WarmUntil is when the worker's slow start ends.
	WarmUntil time.Time
	// Busy is how many requests the worker was running when this node queried its
	// identity, before the node sent it any.
	Busy int
	// Limit is the limit that the worker named then.
	Limit Limit
	// Predecessors are the start times of incarnations of the instance that ended before this one
	// started, the newest last. The clock may have been set back between, so that the start times
	// alone do not tell. The slice is not changed after it was handed out.
	Predecessors []int64
}

// Incarnation returns the identity of the worker's incarnation.
func (w Worker) Incarnation() Incarnation {
	return Incarnation{Instance: w.Instance, StartedAt: w.StartedAt}
}
