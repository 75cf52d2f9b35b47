package forwarding

// commonTimeouts finds the timeouts that callers of a route usually send. A caller that was
// refused and retries has less time left, and mostly an amount that no other caller has.
type commonTimeouts struct {
	counters [timeoutCounters]timeoutCounter
}

const (
	// timeoutCounters bounds the timeouts that are counted at a time: each timeout that more than
	// one in timeoutCounters+1 of the callers sends is found.
	timeoutCounters = 4
	// commonCount is how often a timeout must have been observed to be common in any case, and
	// largestCount limits how long one is remembered that no caller sends any more.
	commonCount  = 8
	largestCount = 200
	// commonFactor applies to timeouts that were observed fewer than commonCount times: one that
	// was observed this many times as often as another is common compared with it. Without the
	// factor, nodes that get one call of a route in two seconds, as one of a thousand nodes does,
	// would know no common timeout for 16 s.
	commonFactor = 2
)

type timeoutCounter struct {
	milliseconds int64
	count        int
}

// observe counts a timeout and reports whether a caller that sends it is retrying: the timeout is
// rare, and shorter than a common one.
func (c *commonTimeouts) observe(milliseconds int64) bool {
	free := -1
	for i := range c.counters {
		each := &c.counters[i]
		if each.count > 0 && each.milliseconds == milliseconds {
			each.count = min(each.count+1, largestCount)
			return each.count < commonCount && c.belowCommon(milliseconds, each.count)
		}
		if each.count == 0 {
			free = i
		}
	}
	if free >= 0 {
		c.counters[free] = timeoutCounter{milliseconds: milliseconds, count: 1}
		return c.belowCommon(milliseconds, 1)
	}
	for i := range c.counters {
		c.counters[i].count--
	}
	return c.belowCommon(milliseconds, 1)
}

// belowCommon reports whether a longer timeout is common, compared with the given one, which was
// observed seen times.
func (c *commonTimeouts) belowCommon(milliseconds int64, seen int) bool {
	usual := min(commonCount, commonFactor*seen)
	for _, each := range c.counters {
		if each.count >= usual && each.milliseconds > milliseconds {
			return true
		}
	}
	return false
}
