package canary

import "time"

// State is the state of a roll-out.
type State uint8

// The states. Completed and RolledBack are final.
const (
	Running State = iota
	// Completed: the new version gets all requests, and none is left at the previous one.
	Completed
	// RolledBack: the new version gets no more requests.
	RolledBack
)

// Final reports whether the state never changes again.
func (s State) Final() bool { return s == Completed || s == RolledBack }

// String returns the name of the state in logs.
func (s State) String() string {
	switch s {
	case Completed:
		return "completed"
	case RolledBack:
		return "rolled back"
	default:
		return "running"
	}
}

// Shares of the requests that the new version gets, and the fractions of the time at which
// they change. While little is known of it the new version gets a small share, for as long
// as the deadline allows, since faults may begin late. What it gets before the last step
// stays below a tenth of all requests until the deadline, including the second that a
// roll-back takes.
const (
	canaryShare = 0.06
	halfShare   = 0.5
	halfAt      = 0.5
	allAt       = 0.6
	// lateAt is the fraction of the time after which a version that has no workers, or has
	// run too few requests, is rolled back.
	lateAt = 0.8
	// leastRuns is how many requests the new version must have run before it gets more
	// than canaryShare.
	leastRuns = 30
	// reserve is the time kept before the deadline for reporting the outcome.
	reserve = 500 * time.Millisecond
)

// Progress is the observed state of a roll-out at one moment.
type Progress struct {
	// Workers is how many workers of the new version can be given work.
	Workers int
	// Runs is how many requests the new version has run in all.
	Runs float64
	// Applied reports that every node routes requests by the last decision.
	Applied bool
	// Drain is how long a request that was given to a worker of the previous version before
	// the last decision was applied may still run.
	Drain time.Duration
}

// Decision is the state of a roll-out and the share to apply from now on.
type Decision struct {
	State State
	// Share is the share of requests that the new version gets, from 0 to 1.
	Share float64
	// Reason is why a version was rolled back; empty otherwise.
	Reason string
}

// Rollout moves the traffic of one service to a new version. Create one with NewRollout.
type Rollout struct {
	began, deadline time.Time
	judge           *Judge
	current         Decision
	// appliedAt is when all nodes were first seen to send all requests to the new version.
	appliedAt time.Time
}

// NewRollout returns a roll-out that is to end by the deadline.
func NewRollout(began, deadline time.Time) *Rollout {
	return &Rollout{began: began, deadline: deadline, judge: NewJudge()}
}

// Judge returns the judge that compares the versions; the results of both are passed to it.
func (r *Rollout) Judge() *Judge { return r.judge }

// Resume continues from a decision of another coordinator.
func (r *Rollout) Resume(d Decision) { r.current = d }

// Step returns the decision that applies from now on.
func (r *Rollout) Step(seen Progress, now time.Time) Decision {
	if r.current.State.Final() {
		return r.current
	}
	if route, reason, bad := r.judge.Bad(); bad {
		return r.rollBack(reason + " on " + route)
	}
	elapsed := float64(now.Sub(r.began)) / float64(max(r.deadline.Sub(r.began), 1))
	if seen.Workers == 0 || r.current.Share < halfShare && seen.Runs < leastRuns && elapsed >= halfAt {
		return r.waitForWorkers(seen, elapsed)
	}
	// Only a roll-back lowers the share: requests must not move back and forth between the
	// versions.
	r.current.Share = max(r.current.Share, shareAt(elapsed))
	if r.current.Share == 1 && seen.Applied {
		r.drain(seen, now)
	}
	return r.current
}

func shareAt(elapsed float64) float64 {
	switch {
	case elapsed < halfAt:
		return canaryShare
	case elapsed < allAt:
		return halfShare
	default:
		return 1
	}
}

// waitForWorkers continues the roll-out while the new version has no workers or too few
// runs, and rolls it back when too little time is left.
func (r *Rollout) waitForWorkers(seen Progress, elapsed float64) Decision {
	if elapsed >= lateAt {
		return r.rollBack("the new version ran too little in time")
	}
	if seen.Workers > 0 {
		r.current.Share = max(r.current.Share, canaryShare)
	}
	return r.current
}

// drain completes the roll-out once no request can be left at the previous version, or the
// deadline is close.
func (r *Rollout) drain(seen Progress, now time.Time) {
	if r.appliedAt.IsZero() {
		r.appliedAt = now
	}
	if !now.Before(r.appliedAt.Add(seen.Drain)) || !now.Before(r.deadline.Add(-reserve)) {
		r.current.State = Completed
	}
}

func (r *Rollout) rollBack(reason string) Decision {
	r.current = Decision{State: RolledBack, Reason: reason}
	return r.current
}
