package retry_test

import (
	"fmt"
	"time"

	"github.com/levertide/levertide/pkg/outcome"
	"github.com/levertide/levertide/pkg/retry"
)

// The first attempt may have run. The second is refused, but the caller still
// learns that the request may have run.
func ExampleAttempts() {
	attempts := retry.NewAttempts(retry.AttemptsOptions{
		Allowance:  retry.DefaultAllowance,
		Repeatable: true,
		Budget:     retry.NewBudget(retry.BudgetOptions{}),
	})
	for _, failure := range []outcome.Reason{outcome.ConnectionLost, outcome.Overloaded} {
		carried := attempts.Begin()
		again := attempts.Fail(outcome.New(failure), true, time.Now())
		fmt.Println(failure, "carried", carried, "again", again)
	}
	fmt.Println(outcome.Of(attempts.Failure()), outcome.ReasonOf(attempts.Failure()))
	// Output:
	// connection-lost carried 1 again true
	// overloaded carried 0 again false
	// unknown connection-lost
}

// A request that may be repeated carries less than the node has, because the
// node keeps one attempt back for itself.
func ExampleAllowance_Share() {
	carried, kept := retry.DefaultAllowance.Share(true)
	fmt.Println(carried, kept)
	// Output: 1 1
}
