package canary_test

import (
	"fmt"
	"time"

	"github.com/levertide/levertide/pkg/canary"
)

// A coordinator passes in the results of the workers of both versions, and carries out the
// decisions.
func Example() {
	began := time.Unix(0, 0)
	rollout := canary.NewRollout(began, began.Add(20*time.Second))
	seen := canary.Progress{Workers: 1}
	fmt.Println(rollout.Step(seen, began.Add(time.Second)).Share)

	rollout.Judge().Observe("/ledger", canary.Tally{Runs: 400, Failed: 2}, canary.Tally{Runs: 24, Failed: 9})
	decision := rollout.Step(seen, began.Add(3*time.Second))
	fmt.Println(decision.State, "for", decision.Reason)
	// Output:
	// 0.06
	// rolled back for failures on /ledger
}
