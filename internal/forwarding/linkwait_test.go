package forwarding

import (
	"testing"
	"time"
)

// TestWorkerWithOldReportIsNotTakenForFree has the workers of a zone tell waits of 400 ms: one
// that told its own long ago is expected to have about as long a wait, one that has just told
// that its link is free has none, and another zone is not concerned.
func TestWorkerWithOldReportIsNotTakenForFree(t *testing.T) {
	const reported = 400 * time.Millisecond
	now := time.Unix(1000, 0)
	var waits linkWaits
	for range 50 {
		waits.observe("a", reported, now)
	}
	if wait := waits.expected("a", 0, now.Add(-2*reportDecay), now); wait < reported*9/10 || wait > reported {
		t.Errorf("not heard of: %v", wait)
	}
	if wait := waits.expected("a", 0, now, now); wait != 0 {
		t.Errorf("just heard of: %v", wait)
	}
	if wait := waits.expected("b", 0, time.Time{}, now); wait != 0 {
		t.Errorf("another zone: %v", wait)
	}
	later := now.Add(5 * linkWaitDecay)
	if wait := waits.expected("a", 0, now, later); wait > reported/100 {
		t.Errorf("long after the last word: %v", wait)
	}
}
