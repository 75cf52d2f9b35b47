package canary

import "time"

// State is how far the move to a new version is.
type State uint8

// The states. Completed and RolledBack are final.
const (
	Running State = iota
	// Completed: the new version has all traffic, and nothing is left at the former.
	Completed
	// RolledBack: the new version has none any more.
	RolledBack
)

// Final reports whether the state never changes again.
func (s State) Final() bool { return s == Completed || s == RolledBack }

// String names the state in logs.
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

// Shares of the requests that the new version gets, and the parts of the time at which
// they change. While little is known it gets little, for as long as the deadline allows:
// faults may begin late. What it gets before the last step stays below a tenth of all
// requests until the deadline, with the second that a roll-back takes.
const (
	canaryShare = 0.06
	halfShare   = 0.5
	halfAt      = 0.5
	allAt       = 0.6
	// lateAt is the part of the time after which a version that has no workers, or has
	// run nothing, is given up.
	lateAt = 0.8
	// leastRuns is how many requests the new version must have run before it gets more
	// than the canary's share.
	leastRuns = 30
	// reserve is kept before the deadline for telling the outcome.
	reserve = 500 * time.Millisecond
)

// Progress is the observed state of a roll-out at one moment.
type Progress struct {
	// Workers is how many workers of the new version can be given work.
	Workers int
	// Runs is how many requests the new version has run in all.
	Runs float64
	// Applied tells that every node steers by the last decision.
	Applied bool
	// Drain is how long a request may last that was given to a worker of the former
	// version before the last decision was applied.
	Drain time.Duration
}

// Decision is what is to be done from now on.
type Decision struct {
	State State
	// Share is the share of requests that the new version gets, from 0 to 1.
	Share float64
	// Reason says why a version was rolled back; empty otherwise.
	Reason string
}

// Rollout moves the traffic of one service to a new version. Use NewRollout.
type Rollout struct {
	began, deadline time.Time
	judge           *Judge
	current         Decision
	// appliedAt is when all nodes were first seen to give all to the new version.
	appliedAt time.Time
}

// NewRollout returns a roll-out that is to end by the deadline.
func NewRollout(began, deadline time.Time) *Rollout {
	return &Rollout{began: began, deadline: deadline, judge: NewJudge()}
}

// Judge returns what compares the versions; whoever has evidence hands it there.
func (r *Rollout) Judge() *Judge { return r.judge }

// Resume takes over a decision of another coordinator.
func (r *Rollout) Resume(d Decision) { r.current = d }

// Step decides what is done from now on.
func (r *Rollout) Step(seen Progress, now time.Time) Decision {
	if r.current.State.Final() {
		return r.current
	}
	if route, reason, bad := r.judge.Bad(); bad {
		return r.rollBack(reason + " on " + route)
	}
	part := float64(now.Sub(r.began)) / float64(max(r.deadline.Sub(r.began), 1))
	if seen.Workers == 0 || r.current.Share < halfShare && seen.Runs < leastRuns && part >= halfAt {
		return r.waitForWorkers(seen, part)
	}
	// The share never falls but by a roll-back: a request must not go back and forth.
	r.current.Share = max(r.current.Share, shareAt(part))
	if r.current.Share == 1 && seen.Applied {
		r.drain(seen, now)
	}
	return r.current
}

func shareAt(part float64) float64 {
	switch {
	case part < halfAt:
		return canaryShare
	case part < allAt:
		return halfShare
	default:
		return 1
	}
}

// waitForWorkers goes on while the new version has shown nothing, and ends when there is
// too little time left for it.
func (r *Rollout) waitForWorkers(seen Progress, part float64) Decision {
	if part >= lateAt {
		return r.rollBack("the new version ran too little in time")
	}
	if seen.Workers > 0 {
		r.current.Share = max(r.current.Share, canaryShare)
	}
	return r.current
}

// drain ends the roll-out once nothing can be left at the former version, or the deadline
// is close.
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
