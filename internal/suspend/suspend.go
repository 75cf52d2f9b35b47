// Package suspend tells for how long a machine was suspended: its steady clock, by which
// Go measures durations, stands still meanwhile, while callers and other machines go on.
package suspend

import "time"

// minimumDifference is the difference of the two clocks of a process from which on it is looked
// whether the machine was suspended. Clocks that are kept in step differ by far less.
const minimumDifference = 50 * time.Millisecond

// Since returns for how long the machine was suspended since the given moment, which must
// come from time.Now in this process. It costs one reading of the clock (0.13 µs,
// BenchmarkSince) unless the time of day has run ahead of the steady clock.
func Since(began time.Time) time.Duration {
	now := time.Now()
	return suspendedBetween(now.Round(0).Sub(began.Round(0)), now.Sub(began), sinceStart)
}

// suspendedBetween returns for how long the machine was suspended while the time of day and the
// steady clock passed by the given durations. The time of day may also have been set: then
// the machine was not suspended since the process started, or not for that long.
func suspendedBetween(day, steady time.Duration, sinceStart func() time.Duration) time.Duration {
	ahead := day - steady
	if ahead < minimumDifference {
		return 0
	}
	return max(min(ahead, sinceStart()), 0)
}

// totalAtStart is the time for which the machine had been suspended when the process started.
var totalAtStart = total()

func sinceStart() time.Duration { return total() - totalAtStart }
