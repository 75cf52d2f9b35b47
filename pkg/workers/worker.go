package workers

import "time"

// State is what may be done with a worker.
type State uint8

// The states of a worker.
const (
	StateReady State = iota + 1
	// StateDraining: the worker finishes what it has. Final but for StateGone.
	StateDraining
	// StateGone: the worker has signed off. Final.
	StateGone
	// StateUnresponsive: no heartbeat came for long; the next one ends it.
	StateUnresponsive
)

// DrainCommitted reports whether the state is a promise to send no new work.
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
	// Instance names the worker; a restarted one may have another, or the same.
	Instance string
	// StartedAt is when this life of the instance began, in milliseconds of the Unix time by the
	// worker's clock; zero when it does not say.
	StartedAt int64
	Service   string
	Address   string
	// Version is that of the worker's software; empty when it does not say.
	Version string
	// Slots is how many requests the worker runs at once.
	Slots int
	State State
	// Sequence rises with each heartbeat of one life of the instance.
	Sequence uint64
	// WarmUntil is when the worker stops being slow from its start.
	WarmUntil time.Time
	// Busy is how many requests the worker had when it was asked who it is, before this
	// node gave it any.
	Busy int
}

// Incarnation returns the name of the worker's life.
func (w Worker) Incarnation() Incarnation {
	return Incarnation{Instance: w.Instance, StartedAt: w.StartedAt}
}
