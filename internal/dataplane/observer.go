package dataplane

import (
	"time"

	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/workers"
)

// Observer is notified of what happens to calls. Its methods are called from many
// goroutines, while calls are served: they must be quick and must not block.
type Observer interface {
	// CallFinished reports how a call from a caller ended.
	CallFinished(report CallReport)
	// PeerCallFinished reports how a call from another node ended.
	PeerCallFinished(report CallReport)
	// RuntimeInForce reports that calls use the given version from now on.
	RuntimeInForce(version uint64, routes int)
	// RuntimeRejected reports that a snapshot in force could not be compiled, so
	// that calls still use the previous one.
	RuntimeRejected(version uint64, err error)
	// DrainStarted reports that the node accepts no new calls from other nodes.
	DrainStarted(inFlight int)
	// DrainFinished reports how the drain ended.
	DrainFinished(report DrainReport)
	// TermsChanged reports that what is known of the requests that a worker takes has changed. The
	// instance is the node beside the worker.
	TermsChanged(change workers.TermsChange)
	// LimitUnreadable reports that the worker of a node names a limit that cannot be read.
	LimitUnreadable(node string, err error)
}

// CallReport describes how one call ended.
type CallReport struct {
	// Route and Service are empty when no route was found.
	Route, Service string
	// Outcome is Answered also when the answer was truncated; see Truncated.
	Outcome outcome.Outcome
	// Reason is empty when Outcome is Answered.
	Reason outcome.Reason
	// Status is the HTTP status that was answered.
	Status int
	// Attempts is the number of attempts, each at one node.
	Attempts int
	// Truncated is set when the answer did not reach the caller completely.
	Truncated bool
	// Duration is the time from the head of the request to the end of the answer.
	Duration time.Duration
	// Cause is the error behind Reason, for logs; nil when there is no more detail.
	Cause error
}

// noObserver ignores all notifications.
type noObserver struct{}

func (noObserver) CallFinished(CallReport)       {}
func (noObserver) PeerCallFinished(CallReport)   {}
func (noObserver) RuntimeInForce(uint64, int)    {}
func (noObserver) RuntimeRejected(uint64, error) {}
func (noObserver) DrainStarted(int)              {}
func (noObserver) DrainFinished(DrainReport)     {}

func (noObserver) TermsChanged(workers.TermsChange) {}
func (noObserver) LimitUnreadable(string, error)    {}
