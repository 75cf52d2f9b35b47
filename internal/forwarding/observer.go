package forwarding

import (
	"time"

	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/quarantine"
	"github.com/levertide/levertide/pkg/workers"
)

// Observer is notified of calls that ended. Its methods are called from many goroutines, on the
// path of calls: they must be quick and must not block.
type Observer interface {
	// CallFinished reports how a call that began at this node ended.
	CallFinished(report CallReport)
	// HopFinished reports how a call from another node ended here.
	HopFinished(report CallReport)
	// TermsChanged reports that what is known of the requests that a worker takes has changed.
	TermsChanged(change workers.TermsChange)
	// LimitUnreadable reports that a worker beside this node names a limit that cannot be read.
	LimitUnreadable(instance string, err error)
}

// CallReport describes how one call ended on one node.
type CallReport struct {
	// RequestID is the request id that the caller sent.
	RequestID string
	// Fingerprint is the same for the same request under another id. It is set for calls that may
	// have run without an answer and for quarantined ones.
	Fingerprint quarantine.Fingerprint
	// Route and Service are empty when no route was found.
	Route, Service string
	// Tenant is the tenant of the call; empty where there are no tenants.
	Tenant string
	// Version is the version of the configuration that the call was decided by.
	Version uint64
	// Outcome, Reason and Status are what was reported to the caller or to the other node.
	Outcome outcome.Outcome
	Reason  outcome.Reason
	Status  int
	// RefusedBy and Evidence say who decided that the call is not run, a node or a worker's
	// incarnation, and by what; empty unless the outcome is not-run.
	RefusedBy string
	Evidence  Evidence
	// UnmarkedStatus is the status of a worker's answer that callers take for the promise that the
	// call has not run, and that lacks the mark of a refusal; zero where there was none.
	UnmarkedStatus int
	// Node and Instance identify the worker that the call was offered to last.
	Node, Instance string
	// Offers is how many offers to nodes were made, Arrivals how many workers received the call.
	Offers, Arrivals int
	// Running, Waiting and Slots are the load that the last choice was based on.
	Running, Waiting, Slots int
	// Limit is the limit of the worker that the call was offered to last, in requests per second;
	// empty where there is none.
	Limit string
	// Waited is how long the call waited for a slot of the worker beside this node, Ran how long
	// that worker had it; zero when it was not sent there.
	Waited, Ran time.Duration
	// Retries is how many further attempts the retry budget has paid for, and RetryDenied is set
	// when one more was not made because the budget was used up.
	Retries     int
	RetryDenied bool
	// Held is how long the call waited for its node to start.
	Held time.Duration
	// ClientRetry is set when the caller was recognized as one that was refused before.
	ClientRetry bool
	// BudgetLeft is how many further attempts the retry budget allowed at the end.
	BudgetLeft float64
	// Left is the time that was left for the call.
	Left     time.Duration
	Duration time.Duration
	// RetryAfter is the retry time reported to the caller.
	RetryAfter time.Duration
	// Truncated is set when the answer did not reach the caller completely.
	Truncated bool
	// Cause is the error behind Reason; nil when there is none.
	Cause error
}

// refuse records who decided that the call is not run.
func (r *CallReport) refuse(decided decision) {
	r.RefusedBy, r.Evidence = decided.by, decided.evidence
}

type noObserver struct{}

func (noObserver) CallFinished(CallReport) {}
func (noObserver) HopFinished(CallReport)  {}

func (noObserver) TermsChanged(workers.TermsChange) {}
func (noObserver) LimitUnreadable(string, error)    {}
