package soak

import (
	"strings"
	"testing"
	"time"
)

// TestNothingBreaksUnderFaults runs a short soak. The rules that it checks hold at
// every moment, however fast the machine is.
func TestNothingBreaksUnderFaults(t *testing.T) {
	report, err := Run(t.Context(), Options{Seed: 3, Duration: 4 * time.Second, Log: t.Logf})
	if err != nil {
		t.Fatal(err)
	}
	checkReport(t, report)
}

// checkReport fails the test for each violation, and when no call was served or no
// fault injected, as the run shows nothing then.
func checkReport(t *testing.T, report Report) {
	t.Helper()
	for _, violation := range report.Violations {
		t.Error(violation)
	}
	if report.Served == 0 || report.Faults == 0 {
		t.Errorf("the run shows nothing: %+v", report)
	}
}

// TestReservedAddressesAreOfOneMachine reserves many addresses for several machines: none is
// given twice, and none is on 127.0.0.1, where connections and other listeners are.
func TestReservedAddressesAreOfOneMachine(t *testing.T) {
	given := map[string]bool{}
	for n := range 12 {
		machine := Loopback{}.Machine(n)
		for range 20 {
			address, err := machine.Reserve()
			if err != nil {
				t.Fatal(err)
			}
			if given[address] || strings.HasPrefix(address, "127.0.0.1:") {
				t.Errorf("machine %d was given %s", n, address)
			}
			given[address] = true
		}
	}
}
