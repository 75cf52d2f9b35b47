package forwarding

import (
	"testing"
	"time"
)

// TestClaimOnALink checks that the time for the work is subtracted from the time to transfer a
// body.
func TestClaimOnALink(t *testing.T) {
	now := time.Now()
	c := claim{rank: 1, work: time.Second, due: now.Add(3 * time.Second), latestStart: now.Add(time.Second)}
	want := claim{rank: 1, due: now.Add(2 * time.Second), latestStart: now.Add(time.Second)}
	if got := c.forTransfer(); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	if got := (claim{}).forTransfer(); !got.due.IsZero() {
		t.Errorf("a claim that is never due is due at %v", got.due)
	}
}

// TestWorkOfAHop checks the expected work and the time until the answer is due on the receiving
// side, and that invalid text leaves a hop unchanged.
func TestWorkOfAHop(t *testing.T) {
	const work, due = 45 * time.Millisecond, 200 * time.Millisecond
	came := time.Now()
	var h hop
	h.readWork(formatWork(work, due))
	if c := h.claim(came); c.work != work || !c.due.Equal(came.Add(due)) {
		t.Errorf("the claim is %+v", c)
	}
	for _, text := range []string{"", "1", "1,", ",1", "a,b", "-1,1", "1,-1", "0,5", "1,2,3"} {
		var h hop
		if h.readWork(text); h != (hop{}) {
			t.Errorf("%q is read as %+v", text, h)
		}
	}
}
