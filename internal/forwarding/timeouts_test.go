package forwarding

import (
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/model"
	"github.com/levertide/levertide/pkg/routing"
)

func TestRetryingCallersHaveRareTimeouts(t *testing.T) {
	var c commonTimeouts
	for range 2 * commonCount {
		c.observe(3000)
	}
	for _, item := range []struct {
		milliseconds int64
		back         bool
	}{{3000, false}, {2850, true}, {2711, true}, {3000, false}, {3500, false}} {
		if got := c.observe(item.milliseconds); got != item.back {
			t.Errorf("%d ms: %v", item.milliseconds, got)
		}
	}
}

func TestSecondCommonTimeoutIsNotTakenForARetry(t *testing.T) {
	var c commonTimeouts
	wrong := 0
	for i := range 200 {
		if c.observe(5000) {
			t.Fatal("the longest timeout was taken for a retry")
		}
		if i%3 == 0 && c.observe(2000) {
			wrong++
		}
	}
	if wrong > commonCount {
		t.Errorf("%d callers with a common timeout were taken for retrying ones", wrong)
	}
}

func TestCommonTimeoutOutlivesManyRetries(t *testing.T) {
	var c commonTimeouts
	for range 50 {
		c.observe(3000)
	}
	for i := range int64(100) {
		c.observe(3000)
		c.observe(2900 - i)
		c.observe(2000 - i)
	}
	if c.observe(3000) || !c.observe(1500) {
		t.Error("the common timeout was forgotten")
	}
}

// TestRetriesAreRecognizedWhereCallsAreFew sends a node two calls of a route, and then one of a
// retrying caller: one of a thousand nodes gets few calls.
func TestRetriesAreRecognizedWhereCallsAreFew(t *testing.T) {
	var c commonTimeouts
	for i, item := range []struct {
		milliseconds int64
		back         bool
	}{{1200, false}, {1200, false}, {1080, true}, {1200, false}, {1075, true}, {1200, false}, {1080, true}} {
		if got := c.observe(item.milliseconds); got != item.back {
			t.Errorf("call %d with %d ms: %v", i, item.milliseconds, got)
		}
	}
}

// TestLastAttemptWaitsWhileAnAnswerCanBeInTime compares how long a call may wait for a slot on
// its first attempt and when its caller has been refused before.
func TestLastAttemptWaitsWhileAnAnswerCanBeInTime(t *testing.T) {
	const target = 400 * time.Millisecond
	began := time.Now()
	for _, test := range []struct {
		name       string
		back       bool
		left, work time.Duration
		want       time.Duration
	}{
		{"first attempt", false, 1200 * time.Millisecond, 100 * time.Millisecond, 160 * time.Millisecond},
		{"retry", true, 800 * time.Millisecond, 100 * time.Millisecond, 360 * time.Millisecond},
		{"retry with long work", true, 800 * time.Millisecond, 250 * time.Millisecond, 300 * time.Millisecond},
		{"retry with time for another attempt", true, 1000 * time.Millisecond, 100 * time.Millisecond, 160 * time.Millisecond},
		{"too late for more", true, 200 * time.Millisecond, 90 * time.Millisecond, 110 * time.Millisecond},
		{"too late for an answer", false, 80 * time.Millisecond, 90 * time.Millisecond, 0},
	} {
		c := &call{
			began: began, end: began.Add(test.left), clientRetry: test.back,
			route: &routing.Route{Config: &model.Route{TargetLatency: target}},
			state: &routeState{work: test.work},
		}
		if waits := c.latestStart().Sub(began); waits != test.want {
			t.Errorf("%s: waits for %v, not %v", test.name, waits, test.want)
		}
	}
}
