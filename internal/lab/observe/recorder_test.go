package observe_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/levertide/levertide/internal/lab/observe"
)

var start = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

func inForce(node string, version uint64, after time.Duration) []byte {
	return fmt.Appendf(nil, `{"time":%q,"level":"info","node":%q,"event":202,"name":"version in force","version":%d,"digest":"aa"}`,
		start.Add(after).Format(time.RFC3339Nano), node, version)
}

func TestRecorderFindsFallingVersionAcrossRestart(t *testing.T) {
	recorder := observe.NewRecorder()
	recorder.ObserveLine(inForce("a", 2, 0))
	recorder.ProcessEnded("a")
	recorder.ObserveLine([]byte("no event"))
	recorder.ObserveLine(inForce("a", 2, time.Second))
	if found := recorder.Violations(); len(found) != 0 {
		t.Fatalf("unexpected violations: %v", found)
	}
	recorder.ObserveLine(inForce("a", 1, 2*time.Second))
	want := []observe.Violation{{
		Rule: observe.RuleNeverOlder, Node: "a", Detail: "version 1 in force after version 2",
	}}
	if diff := cmp.Diff(want, recorder.Violations()); diff != "" {
		t.Errorf("violations (-want +got):\n%s", diff)
	}
}

func TestRecorderFindsUncommittedVersion(t *testing.T) {
	recorder := observe.NewRecorder()
	recorder.ObserveLine(inForce("a", 1, 0))
	recorder.ObserveLine(inForce("a", 3, time.Second))
	recorder.CheckCommitted([]uint64{1, 2})
	found := recorder.Violations()
	if len(found) != 1 || found[0].Rule != observe.RuleOnlyCommitted {
		t.Errorf("violations: %v", found)
	}
}

func TestTimesInForceTakesLaterVersions(t *testing.T) {
	recorder := observe.NewRecorder()
	recorder.ObserveLine(inForce("a", 1, 0))
	recorder.ObserveLine(inForce("a", 2, time.Second))
	recorder.ObserveLine(inForce("b", 3, 2*time.Second))
	got := recorder.TimesInForce(2, start, []string{"a", "b", "c"})
	want := map[string]time.Time{"a": start.Add(time.Second), "b": start.Add(2 * time.Second)}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("times (-want +got):\n%s", diff)
	}
}

func TestAwaitVersionEndsWithContext(t *testing.T) {
	recorder := observe.NewRecorder()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := recorder.AwaitVersion(ctx, 1, []string{"a"}); err == nil {
		t.Error("no error for a node that never had the version in force")
	}
	recorder.ObserveLine(inForce("a", 1, 0))
	if err := recorder.AwaitVersion(context.Background(), 1, []string{"a"}); err != nil {
		t.Error(err)
	}
}

func TestDistribute(t *testing.T) {
	values := make([]float64, 100)
	for i := range values {
		values[i] = float64(100 - i)
	}
	want := &observe.Distribution{Count: 100, Mean: 50.5, P50: 50, P99: 99, Max: 100}
	if diff := cmp.Diff(want, observe.Distribute(values)); diff != "" {
		t.Errorf("distribution (-want +got):\n%s", diff)
	}
	if observe.Distribute(nil) != nil {
		t.Error("Distribute returned a distribution of no values, want nil")
	}
}
