package forwarding

import "time"

// latestStart returns until when the call may wait for a slot.
func (c *call) latestStart() time.Time {
	from := c.offeredFrom()
	if c.nested {
		return from.Add(time.Duration(nestedWaitShare * float64(c.end.Sub(from))))
	}
	latest := from.Add(c.waitLimit())
	if latest.After(c.end) {
		return c.end
	}
	return latest
}

// offeredFrom returns since when the call could be offered to workers: since its body had arrived and
// the node had started. While a caller sends, its call waits for nobody.
func (c *call) offeredFrom() time.Time {
	from := c.began
	for _, later := range []time.Time{c.received, c.heldUntil} {
		if later.After(from) {
			from = later
		}
	}
	return from
}

// waitLimit returns how long the call may wait for a slot: never so long that no time would be
// left for the work. A retried call, or one that has waited for its node to start, may wait for as
// long as this attempt can still be answered in time if too little time is left for a further one.
// With more time left it is refused sooner: a call that waits long holds up others, and a later
// attempt may find a slot at once.
func (c *call) waitLimit() time.Duration {
	work, _ := c.state.expected()
	left := c.end.Sub(c.offeredFrom())
	first := min(c.usefulWait(work), longestWait, max(left-work, 0))
	if !c.clientRetry && c.heldUntil.IsZero() || float64(left) > lastAttemptTargets*float64(c.target()) {
		return first
	}
	return max(first, min(time.Duration(lastAttemptWaitShare*float64(left)), left-lastWorkReserve*work))
}

// usefulWait returns how long a call may wait and still be answered within the target, if it
// takes no more than lastWorkReserve times the usual work. It is at least leastWaitShare of the
// target, since most calls take less, and at most mostWaitShare, since a call that waits longer
// holds up others.
func (c *call) usefulWait(work time.Duration) time.Duration {
	target := c.target()
	least := time.Duration(leastWaitShare * float64(target))
	most := time.Duration(mostWaitShare * float64(target))
	return min(max(target-lastWorkReserve*work, least), most)
}

// rank returns the rank of the call where calls wait for a slot. Among calls of the same
// configured rank, a retried one is behind a first attempt: it has less value left to gain, and
// serving it instead would only refuse the other.
func (c *call) rank() int {
	if c.checked {
		return c.authenticatedRank()
	}
	if c.nested {
		return nestedRank
	}
	return rankOf(c.route.Config.Rank, c.route.Config.Rank, c.step())
}

// claim returns the claim of a call that may wait until the given time.
func (c *call) claim(latestStart time.Time) claim {
	return claim{
		tenant: c.principal().tenant, rank: c.rank(), work: c.state.workSeen(),
		due: c.began.Add(c.target()), latestStart: latestStart,
	}
}

// target returns the time within which an answer has its full value.
func (c *call) target() time.Duration {
	if target := c.route.Config.TargetLatency; target > 0 {
		return target
	}
	return c.route.Timeout
}
