package workers

import (
	"slices"
	"time"
)

// This file decides which incarnation of an instance runs. A start time is read from the clock of the
// worker's machine, which may be set back between two starts, so that the order of start times proves
// nothing. What the node beside the worker knows besides is which incarnations it has heard, in what
// order, how far each has counted, and which of them it goes on to hear. Only one runs at a time. All
// nodes go by the record of that node.

const (
	// maximumPredecessors bounds the start times that are kept of an instance.
	maximumPredecessors = 8
	// firstSequences is up to which sequence a worker has just started: it counts from one.
	firstSequences = 3
	// longestDelay is how long a heartbeat is on its way at most. What has ended is not heard later.
	longestDelay = 30 * time.Second
	// proofShare is the part of the heartbeat timeout for which a contender must be heard, with
	// nothing of the registered incarnation in between, to count as the one that runs.
	proofShare = 2
	// maximumMissed is how many heartbeats of a worker may be missed one after the other. One that has
	// counted further at once is of another writer.
	maximumMissed = 1000
	// maximumSequence is beyond what any worker counts to.
	maximumSequence = 1 << 32
)

// IgnoreReason says why a call of a worker had no effect.
type IgnoreReason string

// The reasons for which a call has no effect.
const (
	// IgnoredSequence: the sequence is not above the one held; the heartbeat is late or repeated.
	IgnoredSequence IgnoreReason = "sequence"
	// IgnoredDraining: the incarnation leaves, and says that it is ready.
	IgnoredDraining IgnoreReason = "draining"
	// IgnoredSuperseded: another incarnation is known to have started later.
	IgnoredSuperseded IgnoreReason = "superseded"
	// IgnoredUnproven: it is not known yet whether this incarnation or the registered one runs.
	IgnoredUnproven IgnoreReason = "unproven"
	// IgnoredUnknown: no such incarnation is registered.
	IgnoredUnknown IgnoreReason = "unknown"
	// IgnoredContended: another instance runs at the address.
	IgnoredContended IgnoreReason = "contended"
	// IgnoredUnheld: the leave is recorded, but nobody else holds it yet.
	IgnoredUnheld IgnoreReason = "unheld"
)

// IgnoreReasons returns all reasons.
func IgnoreReasons() []IgnoreReason {
	return []IgnoreReason{IgnoredSequence, IgnoredDraining, IgnoredSuperseded, IgnoredUnproven, IgnoredUnknown, IgnoredContended, IgnoredUnheld}
}

// contender is a run of a worker other than the registered one.
type contender struct {
	startedAt int64
	sequence  uint64
	// starts is set when it was heard from its start on.
	starts bool
	// since is when it was first heard since the registered incarnation was heard last; zero when
	// there is no contender.
	since time.Time
}

// claim is what a call says of an incarnation that is not the registered one.
type claim struct {
	startedAt int64
	sequence  uint64
	leaves    bool
	// starts is set when the sequence shows that the incarnation has just started.
	starts bool
}

func (h Heartbeat) incarnation() Incarnation {
	return Incarnation{Instance: h.Instance, StartedAt: h.StartedAt}
}

func (h Heartbeat) claim() claim {
	return claim{startedAt: h.StartedAt, sequence: h.Sequence, leaves: h.Draining, starts: h.Sequence <= firstSequences}
}

// signOff returns the claim of a sign-off, which has no sequence: it counts as the next call.
func (r *registration) signOff(incarnation Incarnation) claim {
	c := claim{startedAt: incarnation.StartedAt, leaves: true}
	if r.contender.startedAt == c.startedAt {
		c.sequence = r.contender.sequence + 1
	}
	return c
}

// ignore returns the change of a call without effect.
func (r *registration) ignore(reason IgnoreReason) Change {
	return Change{Worker: r.Worker, Ignored: reason}
}

// judge decides whether another incarnation than the registered one runs. It returns why the call must
// not have an effect; empty when that incarnation takes the place of the registered one. The caller
// holds the mutex.
func (r *Registry) judge(held *registration, c claim, now time.Time) IgnoreReason {
	superseded := slices.Contains(held.Predecessors, c.startedAt)
	if !superseded && r.startsAfter(held, c, now) {
		return ""
	}
	lasted := held.contend(c, now)
	if lasted > 0 && lasted >= r.proof(held) {
		return ""
	}
	if superseded {
		return IgnoredSuperseded
	}
	return IgnoredUnproven
}

// startsAfter reports whether an incarnation that was not heard before is known to run after the
// registered one by a single call.
func (r *Registry) startsAfter(held *registration, c claim, now time.Time) bool {
	later := c.startedAt > held.StartedAt
	committed := held.State.DrainCommitted()
	// What was sent before the registered incarnation started is not heard any more.
	settled := now.Sub(held.registeredAt) > longestDelay
	switch {
	case c.leaves && committed:
		// Nothing is sent to either of them, so that both promises are kept.
		return true
	case c.leaves:
		return later && now.Sub(held.lastHeard) > r.heartbeatTimeout
	case committed:
		// A late heartbeat of one that ended before must not undo the promise.
		return later && (held.learned || settled) || c.starts && (later || settled || held.fromStart)
	default:
		return later || c.starts
	}
}

// proof returns for how long a contender must be heard alone to count as the running incarnation. A
// drain commitment is given up only for one that cannot be made up of late heartbeats.
func (r *Registry) proof(held *registration) time.Duration {
	if held.State.DrainCommitted() {
		return longestDelay
	}
	return r.heartbeatTimeout / proofShare
}

// contend records a call of a contender. It returns for how long that has been heard alone, zero for a
// call that does not continue it.
func (r *registration) contend(c claim, now time.Time) time.Duration {
	again := c.starts && c.sequence < r.contender.sequence
	if r.contender.since.IsZero() || r.contender.startedAt != c.startedAt || again {
		r.contender = contender{startedAt: c.startedAt, sequence: c.sequence, starts: c.starts, since: now}
		return 0
	}
	if c.sequence <= r.contender.sequence {
		return 0
	}
	r.contender.sequence = c.sequence
	return now.Sub(r.contender.since)
}

// judgeSequence decides whether a ready heartbeat of the registered incarnation has an effect. A worker
// may start again within the same millisecond of a clock that was set back, and another writer may have
// counted further: who goes on to be heard alone is the one that runs, and counts anew. The caller holds
// the mutex.
func (r *Registry) judgeSequence(held *registration, heartbeat Heartbeat, now time.Time) IgnoreReason {
	committed := held.State.DrainCommitted()
	switch {
	case held.ofAbandonedRun(heartbeat.Sequence):
		return IgnoredSuperseded
	case !committed && heartbeat.Sequence > held.Sequence:
		return ""
	}
	lasted := held.contend(heartbeat.claim(), now)
	proven := lasted >= r.proof(held)
	if committed {
		proven = lasted >= r.heartbeatTimeout && held.countsAnew(now)
	}
	switch {
	case proven && lasted > 0 && heartbeat.StartedAt != 0:
		held.abandoned, held.State = held.Sequence, StateUnresponsive
		return ""
	case proven && lasted > 0 && held.goesOnBeforeJump(heartbeat.Sequence) && !committed:
		held.State = StateUnresponsive
		return ""
	case committed:
		return IgnoredDraining
	default:
		return IgnoredSequence
	}
}

// noteJump records from where another writer has made the sequence jump.
func (r *registration) noteJump(sequence uint64) {
	switch {
	case sequence < r.Sequence:
		r.jumped = false
	case !r.jumped && sequence-r.Sequence > maximumMissed:
		r.jumped, r.jumpedFrom = true, r.Sequence
	}
}

// goesOnBeforeJump reports whether a sequence goes on from where another writer has made it jump, which
// late heartbeats of the worker do not.
func (r *registration) goesOnBeforeJump(sequence uint64) bool {
	return r.jumped && sequence > r.jumpedFrom
}

// countsAnew reports whether the contender has started after the registered run, with the same start
// time: it counts from its start, which that run cannot do so late.
func (r *registration) countsAnew(now time.Time) bool {
	return r.contender.starts && now.Sub(r.registeredAt) > longestDelay
}

// ofAbandonedRun reports whether a heartbeat is of a run with the same start time that has ended. The
// run that took its place has not counted as far yet.
func (r *registration) ofAbandonedRun(sequence uint64) bool {
	return sequence > r.abandoned && r.Sequence+firstSequences < r.abandoned
}

// succession returns the predecessors of the incarnation that takes the place of the registered one. It
// may itself have been taken for one of them.
func (r *registration) succession(next int64) []int64 {
	predecessors := slices.DeleteFunc(slices.Clone(r.Predecessors), func(startedAt int64) bool { return startedAt == next })
	return withPredecessor(predecessors, r.StartedAt)
}

// precededBy records that an incarnation has ended before the registered one started.
func (r *registration) precededBy(startedAt int64) {
	if startedAt != r.StartedAt {
		r.Predecessors = withPredecessor(r.Predecessors, startedAt)
	}
}

// withPredecessor returns a list with one more start time, without the oldest if it grows too long.
func withPredecessor(list []int64, startedAt int64) []int64 {
	if startedAt == 0 || slices.Contains(list, startedAt) {
		return list
	}
	surplus := max(len(list)+1-maximumPredecessors, 0)
	return append(slices.Clone(list[surplus:]), startedAt)
}

// succeeds reports whether a worker with a drain commitment that a previous incarnation of the node made
// is the later one: by what that incarnation knew, or else by the start times.
func (w Worker) succeeds(other Worker) bool {
	switch {
	case slices.Contains(w.Predecessors, other.StartedAt):
		return true
	case slices.Contains(other.Predecessors, w.StartedAt):
		return false
	default:
		return w.StartedAt > other.StartedAt
	}
}

// isSuperseded reports whether one of the workers is known to have started after the given one.
func isSuperseded(worker Worker, all []Worker) bool {
	return slices.ContainsFunc(all, func(other Worker) bool {
		return other.Instance == worker.Instance && slices.Contains(other.Predecessors, worker.StartedAt)
	})
}

// DisorderedPredecessors returns the predecessors whose start times do not show that they are: those
// that other nodes must be told of.
func (w Worker) DisorderedPredecessors() []int64 {
	var disordered []int64
	for _, startedAt := range w.Predecessors {
		if startedAt >= w.StartedAt {
			disordered = append(disordered, startedAt)
		}
	}
	return disordered
}
