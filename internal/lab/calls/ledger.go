package calls

import (
	"slices"
	"sync"
	"time"

	"github.com/levertide/levertide/internal/lab/observe"
	"github.com/levertide/levertide/internal/lab/results"
	"github.com/levertide/levertide/internal/lab/worker"
)

// maxDetails limits the number of details kept.
const maxDetails = 200

// ledger holds the results of all calls.
type ledger struct {
	mutex    sync.Mutex
	totals   Totals
	outcomes []callOutcome
	details  []Detail
	reasons  map[string]int
	seconds  []callsInSecond
	unknown  []time.Time
}

// callsInSecond counts the calls that ended in one second and holds their latencies in milliseconds.
type callsInSecond struct {
	totals    Totals
	latencies []float64
}

// record adds a call that has ended in the given second of the run.
func (l *ledger) record(ended callOutcome, reason string, second int, took time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.totals.add(ended.result)
	l.outcomes = append(l.outcomes, ended)
	for len(l.seconds) <= second {
		l.seconds = append(l.seconds, callsInSecond{})
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

// Details explains the wrong answers, at most maxDetails of them.
func (c *Caller) Details() []Detail {
	c.ledger.mutex.Lock()
	defer c.ledger.mutex.Unlock()
	return slices.Clone(c.ledger.details)
}

// UnknownAt returns the times at which calls ended with an unknown outcome.
func (c *Caller) UnknownAt() []time.Time {
	c.ledger.mutex.Lock()
	defer c.ledger.mutex.Unlock()
	return slices.Clone(c.ledger.unknown)
}

// Reason is why calls were not answered correctly, and how many.
type Reason struct {
	Text  string
	Count int
}

// Reasons returns why calls were not answered correctly, the most frequent first.
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

// Audit lists the contradictions between the results of callers and the records of workers.
type Audit struct {
	// Duplicates are calls that must not be repeated and were admitted by workers
	// more than once.
	Duplicates []string
	// RanThoughNotRun are calls with the result ResultNotRun that a worker
	// admitted.
	RanThoughNotRun []string
	// NeverExecuted are calls that were answered and that no worker executed.
	NeverExecuted []string
}

// Audit compares the results of callers with the records of all workers.
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
