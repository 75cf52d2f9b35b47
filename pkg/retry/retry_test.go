package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/levertide/levertide/pkg/internal/fixedseed"
	"github.com/levertide/levertide/pkg/outcome"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// extraAttempts simulates a chain of levels and counts the additional attempts. The
// outcome of each attempt is drawn; only attempts that reached the level below can
// make further attempts there.
func extraAttempts(t *rapid.T, allowance Allowance, levels int) int {
	if levels == 0 {
		return 0
	}
	total := 0
	attempts := NewAttempts(AttemptsOptions{
		Allowance:  allowance,
		Repeatable: rapid.Bool().Draw(t, "repeatable"),
		Budget:     NewBudget(BudgetOptions{}),
	})
	for {
		carried := attempts.Begin()
		failure := outcome.New(outcome.Unreachable)
		if !rapid.Bool().Draw(t, "notRun") {
			total += extraAttempts(t, carried, levels-1)
			failure = outcome.New(outcome.ConnectionLost)
		}
		if !attempts.Fail(failure, true, testNow) {
			return total
		}
		total++
	}
}

func TestAllowanceBoundsTheWholeChain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		allowance := Allowance(rapid.IntRange(0, int(MaximumAllowance)).Draw(t, "allowance"))
		levels := rapid.IntRange(1, 6).Draw(t, "levels")
		if got := extraAttempts(t, allowance, levels); got > int(allowance) {
			t.Fatalf("%d additional attempts with an allowance of %d", got, allowance)
		}
	})
}

func TestHeadersAreBounded(t *testing.T) {
	if got, ok := ParseAllowance("4000"); !ok || got != MaximumAllowance {
		t.Errorf("ParseAllowance(4000) = %d %t", got, ok)
	}
	if got, ok := ParseDeadline("999999999999"); !ok || got != MaximumDeadline {
		t.Errorf("ParseDeadline = %s %t", got, ok)
	}
	for _, value := range []string{"", "-1", "+1", " 1", "1.5", "0x1", "1234567890123"} {
		if _, ok := ParseAllowance(value); ok {
			t.Errorf("ParseAllowance(%q) accepted", value)
		}
		if _, ok := ParseDeadline(value); ok {
			t.Errorf("ParseDeadline(%q) accepted", value)
		}
	}
}

func TestDeadlineNeverGrows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		left := time.Duration(rapid.Int64Range(-int64(time.Hour), int64(48*time.Hour)).Draw(t, "left"))
		got, ok := ParseDeadline(FormatDeadline(left))
		if !ok || got > max(left, 0) {
			t.Fatalf("%s was carried as %s (%t)", left, got, ok)
		}
	})
}

func TestBackoffStaysWithinItsBounds(t *testing.T) {
	backoff := Backoff{Base: 10 * time.Millisecond, Cap: 100 * time.Millisecond}
	for retry, want := range []time.Duration{10, 20, 40, 80, 100, 100} {
		if got := backoff.PauseAt(retry, 1); got != want*time.Millisecond {
			t.Errorf("retry %d: bound %s, want %dms", retry, got, want)
		}
		if got := backoff.PauseAt(retry, 0); got != 0 {
			t.Errorf("retry %d: smallest pause %s", retry, got)
		}
	}
	if got := backoff.PauseAt(10_000, 1); got != backoff.Cap {
		t.Errorf("pause %s exceeds the cap", got)
	}
}

func TestBudgetBoundsTheShareOfRetries(t *testing.T) {
	budget := NewBudget(BudgetOptions{Ratio: 0.1, MinimumPerSecond: 1, Burst: 5})
	now := time.Unix(0, 0)
	spent := 0
	for range 1000 {
		budget.Earn()
		if budget.Spend(now) {
			spent++
		}
	}
	if spent < 100 || spent > 105 {
		t.Errorf("%d retries in 1000 requests, want about 100", spent)
	}
	if budget.Spend(now) {
		t.Error("an empty budget allowed a retry")
	}
	if !budget.Spend(now.Add(2 * time.Second)) {
		t.Error("time earned nothing")
	}
	if budget.Tokens(now.Add(time.Hour)) > 5 {
		t.Error("the burst is not bounded")
	}
}

func FuzzParseHeaders(f *testing.F) {
	f.Add("2")
	f.Add("030")
	f.Add("99999999999999999999")
	f.Fuzz(func(t *testing.T, value string) {
		if left, ok := ParseDeadline(value); ok && (left < 0 || left > MaximumDeadline) {
			t.Fatalf("deadline %s out of bounds", left)
		}
		if allowance, ok := ParseAllowance(value); ok && allowance > MaximumAllowance {
			t.Fatalf("allowance %d out of bounds", allowance)
		}
	})
}
