package membership_test

import (
	"fmt"

	"github.com/levertide/levertide/pkg/membership"
)

// Example shows a loss that is reported by a previous parent and refuted by the
// node itself.
func Example() {
	node := membership.Record{ID: "node-1", Incarnation: 7, Attachment: 1, Zone: "west", Service: "ledger"}
	table := membership.NewTable()
	table.Merge(node)

	table.Merge(node.With(membership.StateLost))
	fmt.Println("live after the loss:", table.View().Len())

	held, _ := table.Get("node-1")
	refutation, verdict := node.Answer(held)
	table.Merge(refutation)
	fmt.Println("refuted:", verdict == membership.VerdictRefute)
	fmt.Println("live after the refutation:", len(table.View().ByService("ledger")))
	// Output:
	// live after the loss: 0
	// refuted: true
	// live after the refutation: 1
}
