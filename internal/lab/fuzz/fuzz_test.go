package fuzz

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"testing"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/internal/sim"
)

func TestReportIsRepeatableAndComplete(t *testing.T) {
	options := Options{Seed: 5, Steps: 12_000}
	first, err := Run(context.Background(), options)
	if err != nil {
		t.Fatal(err)
	}
	second, _ := Run(context.Background(), options)
	if first.Trace != second.Trace || first.Steps != second.Steps {
		t.Fatalf("traces %s and %s", first.Trace, second.Trace)
	}
	if first.Steps < options.Steps || len(first.Faults) == 0 || first.SimulatedSeconds == 0 {
		t.Fatalf("report %+v", first)
	}
	var output bytes.Buffer
	if err := write(first, "-", &output); err != nil {
		t.Fatal(err)
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(output.Bytes(), &fields); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"seed", "steps", "faults", "violations"} {
		if _, found := fields[name]; !found {
			t.Errorf("no field %q", name)
		}
	}
	if string(fields["violations"]) == "null" {
		t.Error("violations is null instead of an empty list")
	}
}

func TestCancelledRunEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	report, err := Run(ctx, Options{Seed: 1})
	if !errors.Is(err, context.Canceled) || report.Steps > stepsBetweenContextChecks {
		t.Fatalf("%d steps, error %v", report.Steps, err)
	}
}

func TestViolationsAreAnError(t *testing.T) {
	report := Report{Seed: 3, Steps: 10, Violations: []sim.Violation{{Invariant: sim.InvariantComplete, Step: 7, Seed: 3}}}
	if err := verdict(report); !errorx.IsOfType(err, ErrViolations) {
		t.Fatalf("error %v", err)
	}
	if err := verdict(Report{}); err != nil {
		t.Fatalf("error %v", err)
	}
}
