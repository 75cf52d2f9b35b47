package admission

import "time"

// Parameters of the adaptive limit.
const (
	windowLength    = 200 * time.Millisecond
	windowSamples   = 10
	slowTolerance   = 2.0
	slowFactor      = 0.8
	refusalFactor   = 0.6
	increaseStep    = 1.0
	baselineDrift   = 0.02
	smallestLimit   = 1.0
	slowFloorFactor = 0.5
)

// adaptiveLimit adjusts a limit after each window of requests.
//
// Refusals by the worker lower it in proportion to their share, down to
// refusalFactor when all requests were refused. A worker that is given more
// requests than its true slots refuses most of what arrives, because a refusal
// frees the slot at once; a few refusals for other reasons hardly count.
//
// The limit falls by slowFactor when it was reached and answers took more than
// slowTolerance times as long as in the best recent window. Slow answers alone do
// not take it below half of the worker's slots, because a change in the mix of
// requests looks the same. Otherwise it rises by a step when it was reached.
type adaptiveLimit struct {
	value    float64
	baseline float64 // seconds; best recent mean of a window

	windowStart time.Time
	samples     int
	sum         float64 // seconds
	refused     int
	reached     bool
}

func (a *adaptiveLimit) reset(slots int) {
	*a = adaptiveLimit{value: float64(slots)}
}

// markReached records that the limit made a request wait or be refused in this
// window.
func (a *adaptiveLimit) markReached() {
	a.reached = true
}

// observe records one result and returns true when the limit may have changed.
func (a *adaptiveLimit) observe(result Result, slots int, now time.Time) bool {
	if a.windowStart.IsZero() {
		a.windowStart = now
	}
	switch {
	case result.Refused:
		a.refused++
	case result.Latency > 0:
		a.samples++
		a.sum += result.Latency.Seconds()
	}
	if now.Sub(a.windowStart) < windowLength || a.samples+a.refused < windowSamples {
		return false
	}
	a.closeWindow(float64(slots))
	a.windowStart = now
	return true
}

func (a *adaptiveLimit) closeWindow(slots float64) {
	share := float64(a.refused) / float64(a.refused+a.samples)
	slow := a.foldBaseline()
	next := a.value * (1 - share*(1-refusalFactor))
	switch {
	case !a.reached:
	case slow:
		next = max(next*slowFactor, min(slots*slowFloorFactor, next))
	default:
		next += increaseStep * (1 - share)
	}
	a.value = min(max(next, smallestLimit), slots)
	a.samples, a.sum, a.refused = 0, 0, 0
	a.reached = false
}

// foldBaseline updates the baseline with the window's mean and reports whether the
// window was slow compared with it.
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
