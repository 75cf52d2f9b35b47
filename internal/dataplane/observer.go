package dataplane

import (
	"time"

	"github.com/levertide/levertide/pkg/outcome"
)

// Observer is told what happens to calls. Its methods are called from many
// goroutines, on the path of calls: they must be quick and must not block.
type Observer interface {
	// CallFinished tells how a call from a caller ended.
	CallFinished(report CallReport)
	// PeerCallFinished tells how a call from another node ended.
	PeerCallFinished(report CallReport)
	// RuntimeInForce tells that calls use the given version from now on.
	RuntimeInForce(version uint64, routes int)
	// RuntimeRejected tells that a snapshot in force could not be compiled, so
	// that calls still use the one before.
	RuntimeRejected(version uint64, err error)
	// DrainStarted tells that the node takes no new calls from other nodes.
	DrainStarted(inFlight int)
	// DrainFinished tells that the drain is over.
	DrainFinished(report DrainReport)
}

// CallReport is how one call ended.
type CallReport struct {
	// Route and Service are empty when no route was found.
	Route, Service string
	// Outcome is Answered also when the answer was cut short; see Truncated.
	Outcome outcome.Outcome
	// Reason is empty when Outcome is Answered.
	Reason outcome.Reason
	// Status is the HTTP status that was answered.
	Status int
	// Attempts is how many nodes were asked.
	Attempts int
	// Truncated tells that the answer did not reach the caller whole.
	Truncated bool
	// Duration is the time from the head of the request to the end of the answer.
	Duration time.Duration
	// Cause is what lay behind Reason, for logs; nil when there is nothing more to tell.
	Cause error
}

// noObserver is told everything and does nothing.
type noObserver struct{}

func (noObserver) CallFinished(CallReport)       {}
func (noObserver) PeerCallFinished(CallReport)   {}
func (noObserver) RuntimeInForce(uint64, int)    {}
func (noObserver) RuntimeRejected(uint64, error) {}
func (noObserver) DrainStarted(int)              {}
func (noObserver) DrainFinished(DrainReport)     {}
