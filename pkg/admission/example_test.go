package admission_test

import (
	"context"
	"fmt"
	"time"

	"github.com/levertide/levertide/pkg/admission"
)

func Example() {
	gate := admission.New(admission.Options{Slots: 1, Queue: admission.NoQueue})

	permit, err := gate.Admit(context.Background(), admission.PriorityNormal)
	fmt.Println("first:", err)

	_, err = gate.Admit(context.Background(), admission.PriorityNormal)
	fmt.Println("second:", admission.IsShed(err), admission.ReasonOf(err))

	permit.Release(admission.Result{Latency: 3 * time.Millisecond})
	fmt.Println("in flight:", gate.Stats().InFlight)
	// Output:
	// first: <nil>
	// second: true queue-full
	// in flight: 0
}
