package retry

import (
	"sync"
	"time"
)

// windowParts is how many parts a WindowBudget divides its window into. One
// part more than the window holds is counted, so that the bound holds over
// every window of that length.
const windowParts = 10

// WindowOptions set up a WindowBudget.
type WindowOptions struct {
	// Window is the length of time over which retries are bounded.
	Window time.Duration
	// Ratio is how many retries one first attempt within the window allows.
	Ratio float64
	// Slack is how many retries are allowed in any window whatever the traffic.
	Slack float64
}

// WindowBudget bounds retries within every window of a given length: to a share
// of the first attempts made in it, and a fixed number beside. Several nodes
// keep one bound together when each is given its share of the fixed number. It
// is safe for concurrent use.
type WindowBudget struct {
	mutex   sync.Mutex
	options WindowOptions
	parts   [windowParts + 1]windowPart
	current int64
	started bool
}

type windowPart struct {
	first   float64
	retries float64
}

// NewWindowBudget returns an unused budget.
func NewWindowBudget(options WindowOptions) *WindowBudget {
	return &WindowBudget{options: options}
}

// SetSlack changes the fixed number of retries, as when the nodes that share it
// become more or fewer.
func (b *WindowBudget) SetSlack(slack float64) {
	b.mutex.Lock()
	b.options.Slack = slack
	b.mutex.Unlock()
}

// First counts one first attempt.
func (b *WindowBudget) First(now time.Time) {
	b.mutex.Lock()
	b.advance(now)
	b.part().first++
	b.mutex.Unlock()
}

// Spend counts one retry. It reports false, and counts nothing, when the bound
// is reached.
func (b *WindowBudget) Spend(now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.advance(now)
	if b.left() < 1 {
		return false
	}
	b.part().retries++
	return true
}

// Left returns how many retries could be made now.
func (b *WindowBudget) Left(now time.Time) float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.advance(now)
	return max(b.left(), 0)
}

func (b *WindowBudget) left() float64 {
	var first, retries float64
	for _, part := range b.parts {
		first += part.first
		retries += part.retries
	}
	return first*b.options.Ratio + b.options.Slack - retries
}

func (b *WindowBudget) part() *windowPart { return &b.parts[b.current%int64(len(b.parts))] }

// advance drops the parts that have left the window.
func (b *WindowBudget) advance(now time.Time) {
	number := now.UnixNano() / int64(b.options.Window/windowParts)
	if !b.started {
		b.current, b.started = number, true
	}
	if number-b.current > int64(len(b.parts)) {
		b.parts = [windowParts + 1]windowPart{}
		b.current = number
	}
	for b.current < number {
		b.current++
		*b.part() = windowPart{}
	}
}
