package retry

import (
	"time"

	"github.com/levertide/levertide/pkg/outcome"
)

// MaximumAttempts bounds the attempts of one call on one node. It includes attempts
// at draining nodes, which cost no allowance.
const MaximumAttempts = 12

// AttemptsOptions configures Attempts.
type AttemptsOptions struct {
	// Allowance is how many additional attempts the call may still make.
	Allowance Allowance
	// Repeatable states that the request may be sent again after an attempt that
	// may have run.
	Repeatable bool
	// Budget is the retry budget of the called service.
	Budget *Budget
	// Unbounded disables the budget and lets each level spend the whole allowance.
	// It is for comparisons.
	Unbounded bool
}

// Attempts decides, for one call on one node, whether another attempt is made and
// which failure is reported to the caller when none is. It reads no clock and is
// not safe for concurrent use: calls of Begin and Fail alternate.
type Attempts struct {
	options AttemptsOptions
	left    Allowance
	made    int
	// last is the failure of the last attempt, reported the one to report to the
	// caller.
	last, reported error
}

// NewAttempts returns the state of a call before its first attempt.
func NewAttempts(options AttemptsOptions) Attempts {
	return Attempts{options: options, left: options.Allowance}
}

// Made returns how many attempts have begun.
func (a *Attempts) Made() int { return a.made }

// Begin counts an attempt and returns the allowance that it carries.
func (a *Attempts) Begin() Allowance {
	a.made++
	if a.made == 1 && !a.options.Unbounded {
		a.options.Budget.Earn()
	}
	carried, _ := a.left.Share(a.options.Repeatable)
	return carried
}

// Fail records the failure of the attempt that has begun, an error of package
// outcome, and reports whether another one is to be made. If so, its cost is taken
// from the allowance and the budget. possible states whether the call could
// continue at all: its deadline has not passed, its caller is still there, and its
// body can be sent again.
func (a *Attempts) Fail(failure error, possible bool, now time.Time) bool {
	a.last = failure
	if !a.mayHaveRun() || outcome.Of(failure) == outcome.Unknown {
		a.reported = failure
	}
	if !possible || a.made >= MaximumAttempts {
		return false
	}
	reason := outcome.ReasonOf(failure)
	if reason == outcome.Draining {
		// The draining node did not run the request and gets no more requests for a
		// while, so the next attempt costs neither allowance nor budget.
		return true
	}
	left, allowed := a.allowanceAfter(failure)
	if endsCall(reason) || !allowed || !a.pay(now) {
		return false
	}
	a.left = left
	return true
}

// Failure returns the error to report to the caller when no further attempt is
// made: the last failure, but never one saying that the request did not run once an
// attempt may have run. It is nil when no attempt has failed.
func (a *Attempts) Failure() error { return a.reported }

// Pause returns the pause before the next attempt, for the given random fraction as
// in Backoff.PauseAt. The first retry is made at once unless the service is
// overloaded.
func (a *Attempts) Pause(backoff Backoff, fraction float64) time.Duration {
	if a.made == 1 && outcome.ReasonOf(a.last) != outcome.Overloaded {
		return 0
	}
	return backoff.PauseAt(a.made-1, fraction)
}

func (a *Attempts) mayHaveRun() bool {
	return a.reported != nil && outcome.Of(a.reported) == outcome.Unknown
}

func (a *Attempts) allowanceAfter(failure error) (Allowance, bool) {
	switch {
	case outcome.Of(failure) == outcome.NotRun:
		return a.left.afterNotRun()
	case a.options.Unbounded && a.options.Repeatable:
		return a.left.afterNotRun()
	default:
		return a.left.afterUnknown(a.options.Repeatable)
	}
}

func (a *Attempts) pay(now time.Time) bool {
	return a.options.Unbounded || a.options.Budget.Spend(now)
}

// endsCall reports whether another attempt would fail for the same reason.
func endsCall(reason outcome.Reason) bool {
	switch reason {
	case outcome.Malformed, outcome.DeadlineBeforeStart, outcome.CanceledBeforeStart, outcome.BodyNotReceived,
		outcome.Canceled, outcome.UploadFailed, outcome.Quarantined:
		return true
	default:
		return false
	}
}
