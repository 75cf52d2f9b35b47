package retry

import (
	"time"

	"github.com/levertide/levertide/pkg/contain"
)

// windowParts is how many parts a WindowBudget divides its window into. One more
// part is counted than fits the window, so that the bound holds over every window
// of that length.
const windowParts = 10

// WindowOptions configures a WindowBudget.
type WindowOptions struct {
	// Window is the length of time over which retries are bounded.
	Window time.Duration
	// Ratio is how many retries one first attempt within the window allows.
	Ratio float64
	// Slack is how many retries are allowed in any window whatever the traffic.
	Slack float64
	// SlackFrom is the time from which the slack becomes available: it grows from
	// none to all within one window. A process that restarts may have spent its
	// part in its previous incarnation, and may not know yet how many other nodes
	// share the slack. With the zero time, all of it is available at once.
	SlackFrom time.Time
	// Draw returns a random number from 0 up to 1. With it, a remaining fraction of
	// a retry is the probability that one is allowed; without it, fractions allow
	// nothing. One of a thousand nodes may have less than one retry as its part in
	// a window, and without Draw all of them would then never retry at all. A
	// single node exceeds its part by less than one.
	Draw func() float64
}

// WindowBudget bounds retries within every window of a given length to a share of
// the first attempts made in it plus a fixed number. Several nodes enforce one
// common bound when each is given its share of the fixed number. It is safe for
// concurrent use.
type WindowBudget struct {
	mutex   contain.Mutex
	options WindowOptions
	parts   [windowParts + 1]windowPart
	current int64
	started bool
	// threshold is what must be left for the next retry, drawn at drawnAt. Each
	// draw holds until it is used, or for a window: attempts that are repeated
	// within it get no further chance.
	threshold float64
	drawnAt   time.Time
}

type windowPart struct {
	first   float64
	retries float64
}

// NewWindowBudget returns an unused budget.
func NewWindowBudget(options WindowOptions) *WindowBudget {
	return &WindowBudget{options: options}
}

// SetSlack changes the fixed number of retries, for example when the number of
// nodes that share it changes.
func (b *WindowBudget) SetSlack(slack float64) {
	b.mutex.Lock()
	b.options.Slack = slack
	b.mutex.Unlock()
}

// AddFirstAttempt counts one first attempt.
func (b *WindowBudget) AddFirstAttempt(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.advance(now)
	b.part().first++
}

// Spend counts one retry. It reports false, and counts nothing, when the bound
// is reached.
func (b *WindowBudget) Spend(now time.Time) bool { return b.SpendWithin(now, 1) }

// SpendWithin is Spend for a retry that may use the given share of the bound. Below
// one, the rest is left for other retries that need it more; above one, the retry
// is one that others have caused and that is better made where the bound as a whole
// has free capacity.
func (b *WindowBudget) SpendWithin(now time.Time, share float64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.advance(now)
	if b.left(now, share) < b.retryThreshold(now) {
		return false
	}
	b.part().retries++
	b.drawnAt = time.Time{}
	return true
}

// retryThreshold returns how much must be left for one retry.
func (b *WindowBudget) retryThreshold(now time.Time) float64 {
	if b.options.Draw == nil {
		return 1
	}
	if b.drawnAt.IsZero() || now.Sub(b.drawnAt) >= b.options.Window {
		b.threshold, b.drawnAt = 1-b.options.Draw(), now
	}
	return b.threshold
}

// Left returns how many retries could be made now.
func (b *WindowBudget) Left(now time.Time) float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.advance(now)
	return max(b.left(now, 1), 0)
}

// left returns how much is left of the given share of the bound.
func (b *WindowBudget) left(now time.Time, share float64) float64 {
	var first, retries float64
	for _, part := range b.parts {
		first += part.first
		retries += part.retries
	}
	return share*(first*b.options.Ratio+b.slack(now)) - retries
}

// slack returns the part of the fixed number of retries that is available by now.
func (b *WindowBudget) slack(now time.Time) float64 {
	if b.options.SlackFrom.IsZero() {
		return b.options.Slack
	}
	available := float64(now.Sub(b.options.SlackFrom)) / float64(b.options.Window)
	return b.options.Slack * min(max(available, 0), 1)
}

func (b *WindowBudget) part() *windowPart { return &b.parts[b.current%int64(len(b.parts))] }

// advance clears the parts that have left the window.
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
