package demo

import (
	"strings"
	"testing"
	"time"

	"github.com/levertide/levertide/internal/lab/results"
)

func TestFaultsCoverTheirTail(t *testing.T) {
	began := time.Now()
	r := &run{faults: []faultWindow{{began, began.Add(time.Second)}}}
	for after, want := range map[time.Duration]bool{
		-time.Millisecond: false, 0: true, 999 * time.Millisecond: true, time.Second: false,
	} {
		if got := r.duringFault(began.Add(after)); got != want {
			t.Errorf("%v after the start of a fault: %v, want %v", after, got, want)
		}
	}
}

func TestSummaryNamesFailedChecksAndWhatWasNotMeasured(t *testing.T) {
	var shown strings.Builder
	result := &results.Experiment{
		Experiment: "sample",
		Checks: []results.Check{
			{Name: "first", Held: true},
			{Name: "second", Held: false, Detail: "two of three"},
		},
	}
	NewProgress(&shown).Summarize(result)
	for _, want := range []string{"FAILED second: two of three", "1 of 2 held", notMeasured} {
		if !strings.Contains(shown.String(), want) {
			t.Errorf("the summary lacks %q:\n%s", want, shown.String())
		}
	}
	if result.Held() {
		t.Error("a failed check held")
	}
}

func TestSlowestOf(t *testing.T) {
	now := time.Now()
	times := map[string]time.Time{"a": now, "b": now.Add(time.Second), "c": now.Add(-time.Second)}
	if got := slowestOf(times); !got.Equal(now.Add(time.Second)) {
		t.Errorf("slowest is %v", got)
	}
}
