package admission

import "time"

// Parameters of the adaptive limit.
const (
	windowLength    = 200 * time.Millisecond
	windowSamples   = 10
	slowTolerance   = 2.0
	decreaseFactor  = 0.8
	increaseStep    = 1.0
	baselineDrift   = 0.02
	serviceWeight   = 0.1
	smallestLimit   = 1.0
	slowFloorFactor = 0.5
)

// adaptiveLimit lowers a limit by a factor after a window of requests in which
// the worker refused, or in which the limit was reached and answers took more
// than slowTolerance times as long as in the best recent window. It raises the
// limit by a step after a window in which it was reached without either. Slow
// answers alone do not take it below half of the worker's slots, because a
// change in the mix of requests looks the same; refusals do.
type adaptiveLimit struct {
	value    float64
	baseline float64 // seconds; best recent mean of a window

	windowStart time.Time
	samples     int
	sum         float64 // seconds
	refused     bool
	reached     bool
}

func (a *adaptiveLimit) reset(slots int) {
	*a = adaptiveLimit{value: float64(slots)}
}

// markReached notes that the limit bound someone in this window.
func (a *adaptiveLimit) markReached() {
	a.reached = true
}

// observe takes one result and returns true when the limit may have changed.
func (a *adaptiveLimit) observe(result Result, slots int, now time.Time) bool {
	if a.windowStart.IsZero() {
		a.windowStart = now
	}
	if result.Refused {
		a.refused = true
	}
	if result.Latency > 0 {
		a.samples++
		a.sum += result.Latency.Seconds()
	}
	if now.Sub(a.windowStart) < windowLength {
		return false
	}
	if !a.refused && a.samples < windowSamples {
		return false
	}
	a.closeWindow(slots)
	a.windowStart = now
	return true
}

func (a *adaptiveLimit) closeWindow(slots int) {
	slow := a.foldBaseline()
	switch {
	case a.refused:
		a.value = max(a.value*decreaseFactor, smallestLimit)
	case slow && a.reached:
		floor := max(float64(slots)*slowFloorFactor, smallestLimit)
		a.value = max(a.value*decreaseFactor, min(floor, a.value))
	case a.reached:
		a.value = min(a.value+increaseStep, float64(slots))
	}
	a.samples, a.sum = 0, 0
	a.refused, a.reached = false, false
}

// foldBaseline takes the window's mean into the baseline and reports whether
// the window was slow against it.
func (a *adaptiveLimit) foldBaseline() bool {
	if a.samples == 0 {
		return false
	}
	mean := a.sum / float64(a.samples)
	if a.baseline == 0 || mean < a.baseline {
		a.baseline = mean
		return false
	}
	slow := mean > a.baseline*slowTolerance
	a.baseline += (mean - a.baseline) * baselineDrift
	return slow
}
