package retry

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/levertide/levertide/pkg/outcome"
)

var testNow = time.Unix(1_000_000, 0)

// allReasons returns the reasons in a fixed order, so that equal seeds draw alike.
func allReasons() []outcome.Reason { return slices.Sorted(slices.Values(outcome.Reasons())) }

// attemptsCase is a drawn call: its options and the failures of its attempts.
type attemptsCase struct {
	options  AttemptsOptions
	tokens   int
	failures []outcome.Reason
}

func drawAttempts(t *rapid.T) attemptsCase {
	tokens := rapid.IntRange(0, 4).Draw(t, "tokens")
	budget := NewBudget(BudgetOptions{Ratio: 0.001, Burst: 5})
	for range 5 - tokens {
		budget.Spend(testNow)
	}
	return attemptsCase{
		options: AttemptsOptions{
			Allowance:  Allowance(rapid.IntRange(0, int(MaximumAllowance)).Draw(t, "allowance")),
			Repeatable: rapid.Bool().Draw(t, "repeatable"),
			Budget:     budget,
		},
		tokens:   tokens,
		failures: rapid.SliceOfN(rapid.SampledFrom(allReasons()), 0, MaximumAttempts+2).Draw(t, "failures"),
	}
}

// run makes attempts that all fail, until no further one is made or no failure is
// left. It returns the failures that occurred.
func (c attemptsCase) run(t *rapid.T, attempts *Attempts) []outcome.Reason {
	for number, reason := range c.failures {
		if attempts.Begin() > c.options.Allowance {
			t.Fatal("an attempt carries more than the call may spend")
		}
		if !attempts.Fail(outcome.New(reason), true, testNow) {
			return c.failures[:number+1]
		}
		if number+1 >= MaximumAttempts {
			t.Fatalf("another attempt after %d attempts", number+1)
		}
		if endsCall(reason) {
			t.Fatalf("another attempt after %s", reason)
		}
		if reason.Outcome() == outcome.Unknown && !c.options.Repeatable {
			t.Fatalf("a request that must not be repeated is sent again after %s", reason)
		}
	}
	return c.failures
}

func TestAttemptsReportDoubtAndStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawn := drawAttempts(t)
		attempts := NewAttempts(drawn.options)
		met := drawn.run(t, &attempts)
		requireTruth(t, met, attempts.Failure())
		costly := 0
		for _, reason := range met[:max(len(met)-1, 0)] {
			if reason != outcome.Draining {
				costly++
			}
		}
		if costly > int(drawn.options.Allowance) || costly > drawn.tokens {
			t.Fatalf("%d retries with an allowance of %d and %d tokens", costly, drawn.options.Allowance, drawn.tokens)
		}
		if attempts.Made() != len(met) {
			t.Fatalf("%d attempts made, %d failures met", attempts.Made(), len(met))
		}
	})
}

// requireTruth checks that a call is reported as not run only if no attempt may
// have run, and otherwise with the reason of the last attempt that may have run.
func requireTruth(t *rapid.T, met []outcome.Reason, reported error) {
	if len(met) == 0 {
		if reported != nil {
			t.Fatalf("reported %v without an attempt", reported)
		}
		return
	}
	want := met[len(met)-1]
	for _, reason := range met {
		if reason.Outcome() == outcome.Unknown {
			want = reason
		}
	}
	if got := outcome.ReasonOf(reported); got != want {
		t.Fatalf("reported %s after %v, want %s", got, met, want)
	}
}

func TestAttemptsOfACallThatCannotGoOn(t *testing.T) {
	budget := NewBudget(BudgetOptions{Burst: 1})
	for _, reason := range allReasons() {
		attempts := NewAttempts(AttemptsOptions{Allowance: MaximumAllowance, Repeatable: true, Budget: budget})
		attempts.Begin()
		if attempts.Fail(outcome.New(reason), false, testNow) {
			t.Errorf("another attempt after %s", reason)
		}
	}
	if budget.Tokens(testNow) != 1 {
		t.Error("a retry that was not made was paid for")
	}
}

func TestUnboundedAttemptsSpendNoBudget(t *testing.T) {
	attempts := NewAttempts(AttemptsOptions{Allowance: 2, Repeatable: true, Unbounded: true})
	for _, want := range []bool{true, true, false} {
		attempts.Begin()
		if got := attempts.Fail(outcome.New(outcome.ConnectionLost), true, testNow); got != want {
			t.Errorf("attempt %d: again %v, want %v", attempts.Made(), got, want)
		}
	}
	once := NewAttempts(AttemptsOptions{Allowance: 2, Unbounded: true})
	once.Begin()
	if once.Fail(outcome.New(outcome.ConnectionLost), true, testNow) {
		t.Error("a request that must not be repeated is sent again")
	}
}

func TestLeavingNodesCostNothingButAreBounded(t *testing.T) {
	attempts := NewAttempts(AttemptsOptions{Budget: NewBudget(BudgetOptions{})})
	for range MaximumAttempts - 1 {
		attempts.Begin()
		if !attempts.Fail(outcome.New(outcome.Draining), true, testNow) {
			t.Fatalf("no attempt after %d leaving nodes", attempts.Made())
		}
	}
	attempts.Begin()
	if attempts.Fail(outcome.New(outcome.Draining), true, testNow) {
		t.Error("attempts at leaving nodes are not bounded")
	}
}

func TestFirstRetryWaitsOnlyForOverload(t *testing.T) {
	backoff := Backoff{Base: 10 * time.Millisecond, Cap: time.Second}
	for _, reason := range allReasons() {
		attempts := NewAttempts(AttemptsOptions{Allowance: 2, Repeatable: true, Budget: NewBudget(BudgetOptions{})})
		var pauses []time.Duration
		for range 2 {
			attempts.Begin()
			attempts.Fail(outcome.New(reason), true, testNow)
			pauses = append(pauses, attempts.Pause(backoff, 1))
		}
		want := []time.Duration{0, 2 * backoff.Base}
		if reason == outcome.Overloaded {
			want[0] = backoff.Base
		}
		if !slices.Equal(pauses, want) {
			t.Errorf("%s: pauses %v, want %v", reason, pauses, want)
		}
	}
}
