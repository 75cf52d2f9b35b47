package rollout

import "time"

// Defaults of CoordinatorOptions.
const (
	DefaultUnresponsiveBound = 2 * time.Second
	// maximumAgeFactor times UnresponsiveBound is the default of MaximumAge.
	maximumAgeFactor = 5
)

// CoordinatorOptions shapes a Coordinator.
type CoordinatorOptions struct {
	// UnresponsiveBound is how long unresponsive nodes delay a proposal that at
	// least half of the live members have staged. Zero means DefaultUnresponsiveBound.
	UnresponsiveBound time.Duration
	// MaximumAge is how long a proposal waits for half of the live members to
	// stage it. After that it is committed however few have staged it. Zero means
	// five times UnresponsiveBound.
	MaximumAge time.Duration
}

// Coordinator decides whether to commit or abort the proposed version. Two coordinators
// may safely run at once: decisions take effect by compare-and-swap of the head.
type Coordinator struct {
	options CoordinatorOptions

	head      Head
	headKnown bool
	highest   watermark
	// regressed is set while the store returns an older state than it returned before.
	regressed bool
	// since is when the current proposal was first seen.
	since time.Time

	live      MemberSum
	readiness Readiness
	// refused is the first refusal of the current proposal.
	refused *NodeReason
}

// NewCoordinator returns a coordinator that has observed nothing yet.
func NewCoordinator(options CoordinatorOptions) *Coordinator {
	if options.UnresponsiveBound <= 0 {
		options.UnresponsiveBound = DefaultUnresponsiveBound
	}
	if options.MaximumAge <= 0 {
		options.MaximumAge = maximumAgeFactor * options.UnresponsiveBound
	}
	return &Coordinator{options: options}
}

// ObserveHead records the head as read from the store. While the store returns an
// older state than it returned before, nothing is decided.
func (c *Coordinator) ObserveHead(head Head, now time.Time) {
	if _, lower := c.highest.regression(head); c.headKnown && lower {
		c.regressed = true
		return
	}
	if c.headKnown && head.Generation == c.head.Generation && !head.sameRecord(c.head) {
		c.regressed = true
		return
	}
	c.regressed = false
	isNew := !c.headKnown || head.Proposed != c.head.Proposed || head.ApplyID != c.head.ApplyID
	c.head, c.headKnown = head, true
	c.highest.raise(head)
	if isNew {
		c.since = now
		c.refused = nil
	}
}

// ObserveMembers records the sum of the live members.
func (c *Coordinator) ObserveMembers(live MemberSum, _ time.Time) { c.live = live }

// ObserveReadiness records the summary of all nodes that report to the
// coordinator, its own included.
func (c *Coordinator) ObserveReadiness(readiness Readiness, _ time.Time) {
	c.readiness = readiness
	current := c.head.Proposed != 0 && readiness.Proposed == c.head.Proposed
	if current && c.refused == nil && len(readiness.Refused) > 0 {
		first := readiness.Refused[0]
		c.refused = &first
	}
}

// Decision is the next step of a coordinator.
type Decision interface{ isDecision() }

// Wait means that nothing can be decided yet. Until is when to call Decide again if
// nothing is observed before; zero means that only an observation can help.
type Wait struct{ Until time.Time }

// CommitVersion means that the proposed version is to be committed, although
// Unresponsive live members have not staged it.
type CommitVersion struct {
	Version      Version
	ApplyID      string
	Unresponsive uint32
}

// AbortVersion means that the proposed version is to be aborted.
type AbortVersion struct {
	Version   Version
	Rejection Rejection
}

func (Wait) isDecision()          {}
func (CommitVersion) isDecision() {}
func (AbortVersion) isDecision()  {}

// Decide returns what to do about the proposed version. One refusal aborts it. It is
// committed once all live members have staged it; while some have not, it is committed
// after UnresponsiveBound if at least half have, otherwise after MaximumAge.
func (c *Coordinator) Decide(now time.Time) Decision {
	if !c.headKnown || c.regressed || c.head.Proposed == 0 {
		return Wait{}
	}
	if c.refused != nil {
		return c.abort(now)
	}
	ready := c.ready()
	if ready == c.live && ready.Count > 0 {
		return c.commit(0)
	}
	deadline := c.since.Add(c.waitLimit(ready))
	if now.Before(deadline) {
		return Wait{Until: deadline}
	}
	return c.commit(c.unresponsive(ready))
}

// ready returns the sum of the members that have staged the current proposal.
func (c *Coordinator) ready() MemberSum {
	if c.readiness.Proposed != c.head.Proposed {
		return MemberSum{}
	}
	return c.readiness.Ready
}

// waitLimit returns how long unresponsive members delay the proposal.
func (c *Coordinator) waitLimit(ready MemberSum) time.Duration {
	half := c.live.Count > 0 && 2*uint64(ready.Count) >= uint64(c.live.Count)
	if half {
		return c.options.UnresponsiveBound
	}
	return c.options.MaximumAge
}

// unresponsive returns how many live members have not staged the proposal. Members
// counted twice while they move between parents cannot make it underflow.
func (c *Coordinator) unresponsive(ready MemberSum) uint32 {
	if ready.Count >= c.live.Count {
		return 0
	}
	return c.live.Count - ready.Count
}

func (c *Coordinator) commit(unresponsive uint32) Decision {
	return CommitVersion{Version: c.head.Proposed, ApplyID: c.head.ApplyID, Unresponsive: unresponsive}
}

func (c *Coordinator) abort(now time.Time) Decision {
	return AbortVersion{
		Version: c.head.Proposed,
		Rejection: Rejection{
			Version: c.head.Proposed,
			ApplyID: c.head.ApplyID,
			Node:    c.refused.Node,
			Reason:  c.refused.Reason,
			At:      now,
		},
	}
}
