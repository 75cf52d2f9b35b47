package forwarding

import (
	"testing"
	"time"
)

// TestTransferClaimLeavesOutTheWork uses a body that must be transferred by the time when 260 ms
// of the 500 ms that are left are needed for the work.
func TestTransferClaimLeavesOutTheWork(t *testing.T) {
	now := time.Unix(1000, 0)
	wanted := claim{rank: 3, work: 260 * time.Millisecond, due: now.Add(500 * time.Millisecond), latestStart: now.Add(100 * time.Millisecond)}
	want := claim{rank: 3, due: now.Add(240 * time.Millisecond), latestStart: now.Add(100 * time.Millisecond)}
	if turn := wanted.forTransfer(); turn != want {
		t.Errorf("%+v", turn)
	}
}

// TestTransferredBodyWaitsUntilItIsDue uses up the wait limit of a call on the link.
func TestTransferredBodyWaitsUntilItIsDue(t *testing.T) {
	now := time.Unix(1000, 0)
	wanted := claim{work: 260 * time.Millisecond, due: now.Add(1200 * time.Millisecond), latestStart: now.Add(480 * time.Millisecond)}
	if left := wanted.afterTransfer().latestStart.Sub(now); left != 940*time.Millisecond {
		t.Errorf("a slot within %v", left)
	}
	wanted.due = time.Time{}
	if left := wanted.afterTransfer().latestStart.Sub(now); left != 480*time.Millisecond {
		t.Errorf("not due at any time: a slot within %v", left)
	}
}
