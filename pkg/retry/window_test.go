package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestWindowBudgetAllowsShareAndSlack(t *testing.T) {
	budget := NewWindowBudget(WindowOptions{Window: 10 * time.Second, Ratio: 0.2, Slack: 3})
	now := time.Unix(1000, 0)
	for range 10 {
		budget.AddFirstAttempt(now)
	}
	for retry := range 5 {
		if !budget.Spend(now) {
			t.Fatalf("retry %d refused", retry)
		}
	}
	if budget.Spend(now) {
		t.Fatal("a sixth retry was allowed")
	}
	if later := now.Add(12 * time.Second); !budget.Spend(later) {
		t.Fatal("the slack did not come back after the window")
	}
}

// TestWindowBudgetHoldsOverEveryWindow checks the bound independently of the
// implementation: over any window, retries stay within the share of the first
// attempts in that window and the part before it, plus the slack.
func TestWindowBudgetHoldsOverEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		options := WindowOptions{Window: window, Ratio: 0.2, Slack: 4}
		budget := NewWindowBudget(options)
		now := time.Unix(5000, 0)
		var firsts, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "milliseconds")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				budget.AddFirstAttempt(now)
				firsts = append(firsts, now)
			} else if budget.Spend(now) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			spent := countBetween(retries, end.Add(-window), end)
			earned := countBetween(firsts, end.Add(-window-window/windowParts), end)
			if float64(spent) > options.Ratio*float64(earned)+options.Slack {
				t.Fatalf("%d retries for %d first attempts", spent, earned)
			}
		}
	})
}

func countBetween(times []time.Time, after, until time.Time) int {
	count := 0
	for _, at := range times {
		if at.After(after) && !at.After(until) {
			count++
		}
	}
	return count
}
