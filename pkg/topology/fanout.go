package topology

import "math"

// Bounds of the fan-out that FanOut returns.
const (
	MinFanOut = 2
	MaxFanOut = 32
)

// Budget states what a relay may send and receive, and what its children cost.
// A cost of zero adds nothing; there are no defaults.
type Budget struct {
	// BytesPerSecond bounds the control bytes that a node sends and receives
	// together, averaged over a window of minutes.
	BytesPerSecond float64
	// HoldSeconds is how long a watch request is held open when nothing changes.
	HoldSeconds float64
	// IdlePollBytes is the size of one watch without an update, request and
	// response, with HTTP and TCP/IP headers.
	IdlePollBytes float64
	// ChangeBytes is the traffic of one change of the configuration for each
	// child: the staged delta, the commit and the reports.
	ChangeBytes float64
	// ChangesPerDay is how often the configuration changes.
	ChangesPerDay float64
	// DirectoryBytesPerSecond is the traffic of membership changes for each child.
	DirectoryBytesPerSecond float64
	// OtherChildren is how many children a relay may have besides those of its
	// zone: relays of other zones and regions.
	OtherChildren int
	// Reserve is the fraction of the budget, 0 to 1, reserved for bursts.
	Reserve float64
}

const secondsPerDay = 86400

// childBytesPerSecond returns the traffic that one child causes.
func (b Budget) childBytesPerSecond() float64 {
	idle := b.IdlePollBytes / max(b.HoldSeconds, math.SmallestNonzeroFloat64)
	changes := b.ChangeBytes * b.ChangesPerDay / secondsPerDay
	return idle + changes + b.DirectoryBytesPerSecond
}

// FanOut returns how many children of its zone a relay can serve within the
// budget, at least MinFanOut and at most MaxFanOut. The relay's own parent
// counts as one more child.
func FanOut(budget Budget) int {
	child := budget.childBytesPerSecond()
	if child <= 0 || math.IsNaN(child) {
		return MaxFanOut
	}
	usable := budget.BytesPerSecond * (1 - budget.Reserve)
	connections := math.Floor(usable / child)
	children := connections - 1 - float64(budget.OtherChildren)
	return int(min(max(children, MinFanOut), MaxFanOut))
}
