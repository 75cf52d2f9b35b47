package load

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/levertide/levertide/internal/lab/results"
	"github.com/levertide/levertide/pkg/outcome"
)

// Range and precision of the histograms, in microseconds.
const (
	shortestTime      = 1
	longestTime       = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	perMillisecond    = 1000.0
)

// meter is a histogram of durations.
type meter struct {
	mutex     sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newMeter() *meter {
	return &meter{histogram: hdrhistogram.New(shortestTime, longestTime, significantDigits)}
}

func (m *meter) record(length time.Duration) {
	microseconds := min(max(length.Microseconds(), shortestTime), longestTime)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	_ = m.histogram.RecordValue(microseconds)
}

// quantiles returns the quantiles in milliseconds; nil when nothing was recorded.
func (m *meter) quantiles() *results.Quantiles {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.histogram.TotalCount() == 0 {
		return nil
	}
	return &results.Quantiles{
		P50: float64(m.histogram.ValueAtQuantile(50)) / perMillisecond,
		P99: float64(m.histogram.ValueAtQuantile(99)) / perMillisecond,
		Max: float64(m.histogram.Max()) / perMillisecond,
	}
}

// merge adds the durations of another meter.
func (m *meter) merge(other *meter) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.histogram.Merge(other.histogram)
}

// medians returns the median of each quantile; nil for no rounds.
func medians(rounds []results.Quantiles) *results.Quantiles {
	if len(rounds) == 0 {
		return nil
	}
	return &results.Quantiles{
		P50: medianOf(rounds, func(q results.Quantiles) float64 { return q.P50 }),
		P99: medianOf(rounds, func(q results.Quantiles) float64 { return q.P99 }),
		Max: medianOf(rounds, func(q results.Quantiles) float64 { return q.Max }),
	}
}

func medianOf(rounds []results.Quantiles, field func(results.Quantiles) float64) float64 {
	values := make([]float64, len(rounds))
	for i, round := range rounds {
		values[i] = field(round)
	}
	slices.Sort(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}

// difference subtracts each quantile of direct from that of through; nil when one is missing.
func difference(through, direct *results.Quantiles) *results.Quantiles {
	if through == nil || direct == nil {
		return nil
	}
	return &results.Quantiles{
		P50: through.P50 - direct.P50,
		P99: through.P99 - direct.P99,
		Max: through.Max - direct.Max,
	}
}

// tally counts the results of calls and records the latency of the answered ones.
type tally struct {
	mutex  sync.Mutex
	counts Counts
	notRun []string // identifiers of the calls that were refused as not run
	times  *meter
	// lastFailed is when a call last ended without a correct answer.
	lastFailed time.Time
}

func newTally() *tally { return &tally{times: newMeter()} }

func (t *tally) add(id string, ended callResult, length time.Duration) {
	if ended.kind == resultAnswered {
		t.times.record(length)
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.counts.Calls++
	if ended.kind != resultAnswered {
		t.lastFailed = time.Now()
	}
	if ended.reason != "" {
		t.addReason(ended.reason, 1)
	}
	switch ended.kind {
	case resultAnswered:
		t.counts.Answered++
	case resultNotRun:
		t.counts.NotRun++
		t.notRun = append(t.notRun, id)
	case resultUnknown:
		t.counts.Unknown++
		t.addUnknownCalls(UnknownCall{ID: id, Reason: ended.reason, Detail: ended.detail, Milliseconds: length.Milliseconds()})
	case resultWrong:
		t.counts.Wrong++
	}
}

// maxUnknownCalls bounds the calls with an unknown outcome that a tally lists.
const maxUnknownCalls = 10

func (t *tally) addUnknownCalls(calls ...UnknownCall) {
	free := maxUnknownCalls - len(t.counts.UnknownCalls)
	t.counts.UnknownCalls = append(t.counts.UnknownCalls, calls[:min(len(calls), free)]...)
}

// merge adds the calls of another tally, to which no more calls are added.
func (t *tally) merge(other *tally) {
	t.times.merge(other.times)
	t.counts.Calls += other.counts.Calls
	t.counts.Answered += other.counts.Answered
	t.counts.NotRun += other.counts.NotRun
	t.counts.Unknown += other.counts.Unknown
	t.counts.Wrong += other.counts.Wrong
	t.notRun = append(t.notRun, other.notRun...)
	t.addUnknownCalls(other.counts.UnknownCalls...)
	for reason, count := range other.counts.Reasons {
		t.addReason(reason, count)
	}
}

func (t *tally) addReason(reason outcome.Reason, count int) {
	if t.counts.Reasons == nil {
		t.counts.Reasons = make(map[outcome.Reason]int)
	}
	t.counts.Reasons[reason] += count
}

// failedUntil returns the time from moment to the last failed call; zero if none failed after it.
func (t *tally) failedUntil(moment time.Time) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return max(t.lastFailed.Sub(moment), 0)
}

// result returns the counts, completed with the duplicate and false not-run counts that the
// workers' execution records show.
func (t *tally) result(seen executions) Counts {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	counts := t.counts
	counts.Reasons = maps.Clone(counts.Reasons)
	counts.Duplicates = seen.duplicates(isUnrepeatable)
	for _, id := range t.notRun {
		if seen[id] > 0 {
			counts.FalseNotRun++
		}
	}
	return counts
}
