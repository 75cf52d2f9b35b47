package retry_test

import (
	"fmt"

	"github.com/levertide/levertide/pkg/retry"
)

// A request that may be repeated carries less than the node has, because the
// node keeps one attempt back for itself.
func ExampleAllowance_Share() {
	carried, kept := retry.DefaultAllowance.Share(true)
	fmt.Println(carried, kept)
	// Output: 1 1
}
