package lease_test

import (
	"context"
	"fmt"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/lease"
	"github.com/levertide/levertide/pkg/store/memory"
)

// Two processes try to acquire the same lease; only one of them gets it.
func Example() {
	ctx := context.Background()
	platform := memory.New(memory.Options{})
	first := lease.New(lease.Options{Store: platform, Name: "first"})
	second := lease.New(lease.Options{Store: platform, Name: "second"})

	held, err := first.TryAcquire(ctx, "reader/0", []byte("node-1"))
	fmt.Println("first:", held.Valid(), err)

	_, err = second.TryAcquire(ctx, "reader/0", []byte("node-2"))
	fmt.Println("second is refused:", errorx.IsOfType(err, lease.ErrLeaseHeld))

	holder, err := second.Holder(ctx, "reader/0")
	fmt.Println("holder:", string(holder.Value), err)

	fmt.Println("released:", held.Release(ctx))

	// Output:
	// first: true <nil>
	// second is refused: true
	// holder: node-1 <nil>
	// released: <nil>
}
