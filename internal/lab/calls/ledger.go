package calls

import (
	"slices"
	"sync"
	"time"

	"github.com/levertide/levertide/internal/lab/observe"
	"github.com/levertide/levertide/internal/lab/results"
	"github.com/levertide/levertide/internal/lab/worker"
)

// maxDetails bounds the details kept.
const maxDetails = 200

// ledger keeps how every call came out.
type ledger struct {
	mutex    sync.Mutex
	totals   Totals
	outcomes []outcomeOf
	details  []Detail
	reasons  map[string]int
	seconds  []secondOf
	unknown  []time.Time
}

// secondOf keeps the calls that ended in one second.
type secondOf struct {
	totals    Totals
	latencies []float64
}

// note takes one call.
func (l *ledger) note(ended outcomeOf, reason string, second int, took time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.totals.add(ended.result)
	l.outcomes = append(l.outcomes, ended)
	for len(l.seconds) <= second {
		l.seconds = append(l.seconds, secondOf{})
	}
	l.seconds[second].totals.add(ended.result)
	l.seconds[second].latencies = append(l.seconds[second].latencies, observe.Milliseconds(took))
	if ended.result == ResultUnknown {
		l.unknown = append(l.unknown, time.Now())
	}
	if ended.result == ResultWrong && len(l.details) < maxDetails {
		l.details = append(l.details, Detail{ended.id, reason})
	}
	if l.reasons == nil {
		l.reasons = make(map[string]int)
	}
	if reason != "" {
		l.reasons[reason]++
	}
}

// Totals returns the calls ended so far, by result.
func (c *Caller) Totals() Totals {
	c.ledger.mutex.Lock()
	defer c.ledger.mutex.Unlock()
	return c.ledger.totals
}

// Details returns what was wrong with wrong answers.
func (c *Caller) Details() []Detail {
	c.ledger.mutex.Lock()
	defer c.ledger.mutex.Unlock()
	return slices.Clone(c.ledger.details)
}

// UnknownAt returns when calls came out as unknown.
func (c *Caller) UnknownAt() []time.Time {
	c.ledger.mutex.Lock()
	defer c.ledger.mutex.Unlock()
	return slices.Clone(c.ledger.unknown)
}

// Reason is why calls were not answered, and how many.
type Reason struct {
	Text  string
	Count int
}

// Reasons returns why calls were not answered, the most frequent first.
func (c *Caller) Reasons() []Reason {
	c.ledger.mutex.Lock()
	defer c.ledger.mutex.Unlock()
	var reasons []Reason
	for text, count := range c.ledger.reasons {
		reasons = append(reasons, Reason{text, count})
	}
	slices.SortFunc(reasons, func(a, b Reason) int { return b.Count - a.Count })
	return reasons
}

// Seconds returns the calls that ended in each second.
func (c *Caller) Seconds() []results.CallSecond {
	c.ledger.mutex.Lock()
	defer c.ledger.mutex.Unlock()
	var seconds []results.CallSecond
	for i, second := range c.ledger.seconds {
		shown := results.CallSecond{
			Second:   i,
			Answered: second.totals.Answered,
			NotRun:   second.totals.NotRun,
			Unknown:  second.totals.Unknown,
			Wrong:    second.totals.Wrong,
		}
		if spread := observe.Distribute(second.latencies); spread != nil {
			shown.P99 = spread.P99
		}
		seconds = append(seconds, shown)
	}
	return seconds
}

// Audit is what a comparison of callers and workers found.
type Audit struct {
	// Duplicates are calls that must not be repeated and were let in by workers
	// more than once.
	Duplicates []string
	// RanThoughNotRun are calls whose caller was told that they did not run,
	// and that a worker let in.
	RanThoughNotRun []string
	// NeverExecuted are calls that were answered and that no worker executed.
	NeverExecuted []string
}

// Audit compares what callers were told with the records of all workers.
func (c *Caller) Audit(records []worker.Record) Audit {
	c.ledger.mutex.Lock()
	defer c.ledger.mutex.Unlock()
	started := make(map[string]int)
	executed := make(map[string]int)
	for _, record := range records {
		started[record.ID] += record.Started
		executed[record.ID] += record.Executed
	}
	var found Audit
	for _, ended := range c.ledger.outcomes {
		if !ended.repeatable && started[ended.id] > 1 {
			found.Duplicates = append(found.Duplicates, ended.id)
		}
		if ended.result == ResultNotRun && started[ended.id] > 0 {
			found.RanThoughNotRun = append(found.RanThoughNotRun, ended.id)
		}
		if ended.result == ResultAnswered && executed[ended.id] == 0 {
			found.NeverExecuted = append(found.NeverExecuted, ended.id)
		}
	}
	return found
}
