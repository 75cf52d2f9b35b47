package forwarding

import (
	"time"

	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/quarantine"
)

// Observer is told what happens. Its methods are called from many goroutines, on
// the path of calls: they must be quick and must not block.
type Observer interface {
	// CallFinished tells how a call that began at this node ended.
	CallFinished(report CallReport)
	// HopFinished tells how a call from another node ended here.
	HopFinished(report CallReport)
}

// CallReport is how one call ended on one node.
type CallReport struct {
	// RequestID is the caller's id.
	RequestID string
	// Fingerprint is the same for the same request under another id. It is given for
	// calls that may have run without an answer.
	Fingerprint quarantine.Fingerprint
	// Route and Service are empty when no route was found.
	Route, Service string
	// Tenant is whose the call is; empty where there are no tenants.
	Tenant string
	// Version is the version of the configuration that decided.
	Version uint64
	// Outcome, Reason and Status are what the caller or the other node was told.
	Outcome outcome.Outcome
	Reason  outcome.Reason
	Status  int
	// Node and Instance are the worker that was asked last.
	Node, Instance string
	// Offers is how many nodes were asked, Arrivals how many workers had the call.
	Offers, Arrivals int
	// Running, Waiting and Slots are the load that decided the last choice.
	Running, Waiting, Slots int
	// Waited is how long the call waited for a slot of the worker beside this node,
	// Ran how long that worker had it; zero when it was not asked.
	Waited, Ran time.Duration
	// Retries is how many further attempts the budget has paid for, and RetryDenied tells
	// that one more was not made for want of it.
	Retries     int
	RetryDenied bool
	// Held is how long the call waited for its node to start.
	Held time.Duration
	// ClientRetry tells that the caller was taken for one that was refused before.
	ClientRetry bool
	// BudgetLeft is how many further attempts the budget allowed at the end.
	BudgetLeft float64
	// Left is the time that was left of the call.
	Left     time.Duration
	Duration time.Duration
	// RetryAfter is what the caller was told to wait.
	RetryAfter time.Duration
	// Truncated tells that the answer did not reach the caller whole.
	Truncated bool
	// Cause is what lay behind Reason; nil when there is nothing more to tell.
	Cause error
}

type noObserver struct{}

func (noObserver) CallFinished(CallReport) {}
func (noObserver) HopFinished(CallReport)  {}
