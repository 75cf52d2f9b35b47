package load

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/levertide/levertide/internal/lab/results"
	"github.com/levertide/levertide/internal/lab/worker"
)

func short(modes ...Mode) Options {
	return Options{
		Modes: modes, Rates: []float64{100}, Duration: 300 * time.Millisecond,
		// There are far more slots than calls, so that no call queues after a pause of the machine.
		Workers: 2, Zones: 2, Slots: 500, UploadSizes: []int64{1 << 20},
		Service: worker.Distribution{Median: time.Millisecond},
	}
}

func run(t *testing.T, options Options) Report {
	t.Helper()
	report, err := Run(context.Background(), options)
	if err != nil {
		t.Fatal(err)
	}
	return report
}

func TestSteadyMeasuresBothWays(t *testing.T) {
	t.Parallel()
	report := run(t, short(ModeSteady))
	step := report.Steady[0]
	for name, counts := range map[string]Counts{"direct": step.Direct, "through": step.Through} {
		if counts.Calls == 0 || counts.Answered != counts.Calls {
			t.Errorf("%s: %+v", name, counts)
		}
	}
	// A latency is measured from the scheduled start of its own call, so that
	// none can be shorter than the service time of the worker.
	if step.DirectMS.P50 < 1 || step.ThroughMS.P50 < 1 {
		t.Errorf("times below the worker's own: direct %v, through %v", step.DirectMS, step.ThroughMS)
	}
	if len(step.AddedRounds) != DefaultRounds {
		t.Errorf("%d rounds", len(step.AddedRounds))
	}
	if *report.Calls != step.Through.Calls || report.Added == nil {
		t.Errorf("top of the report: %+v", report.Load)
	}
}

func TestFiguresNotMeasuredAreNull(t *testing.T) {
	t.Parallel()
	report := run(t, short(ModeUpload))
	encoded, err := json.Marshal(report)
	if err != nil {
		t.Fatal(err)
	}
	for _, field := range []string{
		"calls", "calls_per_second", "direct_ms", "through_ms", "added_ms",
		"not_run", "unknown", "wrong_answers", "duplicate_executions", "gateway_resident_mb",
	} {
		if !strings.Contains(string(encoded), `"`+field+`":null`) {
			t.Errorf("%s is not null in %s", field, encoded)
		}
	}
	if len(report.Upload.Points) != 1 || !report.Upload.Points[0].Complete {
		t.Errorf("upload: %+v", report.Upload)
	}
}

func TestFailuresAreReported(t *testing.T) {
	report := Report{
		Steady:  []Step{{Through: Counts{Wrong: 1, Duplicates: 2, FalseNotRun: 1}}},
		Upload:  &Upload{Points: []UploadPoint{{}}},
		Rolling: &Rolling{Once: Counts{Unknown: 1}, UploadsStarted: 1, Killed: 1},
	}
	if failures := report.failures(); len(failures) != 7 {
		t.Errorf("failures %q", failures)
	}
}

func TestMediansOfRounds(t *testing.T) {
	rounds := []results.Quantiles{{P50: 3, P99: 1}, {P50: 1, P99: 50}, {P50: 2, P99: 2}}
	if got := medians(rounds); got.P50 != 2 || got.P99 != 2 {
		t.Errorf("%+v", got)
	}
	if got := medians(rounds[:2]); got.P50 != 2 || got.P99 != 25.5 {
		t.Errorf("%+v", got)
	}
	if medians(nil) != nil {
		t.Error("figures without rounds")
	}
}

func TestDuplicatesAcrossWorkers(t *testing.T) {
	seen := executions{"a-once-1": 1, "a-once-2": 2, "b-3": 2}
	if got := seen.duplicates(isUnrepeatable); got != 1 {
		t.Errorf("%d duplicates, want 1", got)
	}
	if got := seen.total(); got != 5 {
		t.Errorf("%d executions, want 5", got)
	}
}

func TestFaultsHarmNoUnrepeatableRequest(t *testing.T) {
	t.Parallel()
	report := run(t, short(ModeFaults))
	for _, point := range report.Faults {
		if point.Once.Calls == 0 || point.Any.Calls == 0 {
			t.Errorf("%s: no calls in %+v", point.Fault, point)
		}
	}
	if len(report.Faults) != len(faultKinds) {
		t.Errorf("%d faults tried of %d", len(report.Faults), len(faultKinds))
	}
}

// TestRollingReplacesEverything guards against calls and uploads that are lost while every node
// and worker is replaced.
func TestRollingReplacesEverything(t *testing.T) {
	t.Parallel()
	options := short(ModeRolling)
	options.Workers = 1
	report := run(t, options)
	if report.Rolling.Replaced != 2 || report.Rolling.Once.Calls == 0 || report.Rolling.UploadsWhole == 0 {
		t.Errorf("%+v", report.Rolling)
	}
}

func TestCrashesHarmNoUnrepeatableRequest(t *testing.T) {
	t.Parallel()
	report := run(t, short(ModeCrash))
	if len(report.Crash.Events) != 2 || report.Crash.Once.Calls == 0 || report.Crash.Any.Answered == 0 {
		t.Errorf("%+v", report.Crash)
	}
}

func TestChainStaysWithinItsBound(t *testing.T) {
	t.Parallel()
	report := run(t, short(ModeChain))
	for _, item := range report.Chain.Cases {
		if item.Budget.Top.Calls == 0 || item.Budget.Bottom < item.Budget.Top.Calls {
			t.Errorf("%g failing: %+v", item.FailedShare, item.Budget)
		}
	}
}

func TestFalseNotRunIsCounted(t *testing.T) {
	seen := newTally()
	seen.add("a", callResult{kind: resultNotRun}, time.Second)
	seen.add("b", callResult{kind: resultNotRun}, time.Second)
	if counts := seen.result(executions{"b": 1}); counts.NotRun != 2 || counts.FalseNotRun != 1 {
		t.Errorf("%+v", counts)
	}
}

func TestOptionsAreChecked(t *testing.T) {
	if modes, err := ParseModes("all"); err != nil || len(modes) != 7 {
		t.Errorf("all modes: %v, %v", modes, err)
	}
	for _, text := range []string{"", "fast", "steady,"} {
		if _, err := ParseModes(text); err == nil {
			t.Errorf("mode %q accepted", text)
		}
	}
	for _, text := range []string{"", "0", "-1", "NaN", "1,x"} {
		if _, err := ParseRates(text); err == nil {
			t.Errorf("rate %q accepted", text)
		}
	}
	for _, text := range []string{"", "0", "1.5"} {
		if _, err := ParseSizes(text); err == nil {
			t.Errorf("size %q accepted", text)
		}
	}
}

func TestUnknownCallsAreNamed(t *testing.T) {
	seen := newTally()
	for range 2 * maxUnknownCalls {
		seen.add("once-7", callResult{kind: resultUnknown, reason: reasonNoAnswer, detail: "EOF"}, 30*time.Millisecond)
	}
	rolling := &Rolling{Once: seen.result(executions{})}
	if named := len(rolling.Once.UnknownCalls); named != maxUnknownCalls {
		t.Errorf("%d calls are named", named)
	}
	if text := strings.Join(rolling.failures(), "\n"); !strings.Contains(text, "once-7 after 30 ms") || !strings.Contains(text, "EOF") {
		t.Errorf("the failure names no call: %s", text)
	}
}
