package forwarding

import (
	"testing"
	"time"
)

// TestWorkerWithOldReportIsNotTakenForFree makes the workers of a zone report waits of 400 ms:
// one whose report is old is expected to have about as long a wait, one that has just reported
// that its link is free has none, and another zone is not affected.
func TestWorkerWithOldReportIsNotTakenForFree(t *testing.T) {
	const reported = 400 * time.Millisecond
	now := time.Unix(1000, 0)
	var waits linkWaits
	for range 50 {
		waits.observe("a", reported, now)
	}
	if wait := waits.expected("a", 0, now.Add(-2*reportDecay), now); wait < reported*9/10 || wait > reported {
		t.Errorf("after an old report: %v", wait)
	}
	if wait := waits.expected("a", 0, now, now); wait != 0 {
		t.Errorf("after a new report: %v", wait)
	}
	if wait := waits.expected("b", 0, time.Time{}, now); wait != 0 {
		t.Errorf("another zone: %v", wait)
	}
	later := now.Add(5 * linkWaitDecay)
	if wait := waits.expected("a", 0, now, later); wait > reported/100 {
		t.Errorf("long after the last report: %v", wait)
	}
}
