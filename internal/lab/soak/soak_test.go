package soak

import (
	"testing"
	"time"
)

// TestNothingBreaksUnderFaults runs a short soak. What it checks holds at every
// moment, however fast the machine is.
func TestNothingBreaksUnderFaults(t *testing.T) {
	report, err := Run(t.Context(), Options{Seed: 3, Duration: 4 * time.Second, Log: t.Logf})
	if err != nil {
		t.Fatal(err)
	}
	checkReport(t, report)
}

// checkReport fails the test for each violation, and when the run shows nothing.
func checkReport(t *testing.T, report Report) {
	t.Helper()
	for _, violation := range report.Violations {
		t.Error(violation)
	}
	if report.Served == 0 || report.Faults == 0 {
		t.Errorf("the run shows nothing: %+v", report)
	}
}
