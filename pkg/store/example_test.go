package store_test

import (
	"context"
	"fmt"

	"github.com/joomcode/errorx"

	"github.com/levertide/levertide/pkg/store"
	"github.com/levertide/levertide/pkg/store/memory"
)

// A compare-and-swap states the index that it expects, so that of two writers that
// expect the same index one is refused.
func Example() {
	ctx := context.Background()
	var platform store.Store = memory.New(memory.Options{})

	create := store.Operation{Verb: store.VerbCompareAndSwap, Key: "head", Value: []byte("1")}
	fmt.Println("created:", platform.Transact(ctx, []store.Operation{create}) == nil)

	err := platform.Transact(ctx, []store.Operation{create})
	fmt.Println("conflict:", errorx.IsOfType(err, store.ErrConflict), "not written:", store.NotWritten(err))

	record, _, err := platform.Get(ctx, "head", store.ReadOptions{Consistent: true})
	fmt.Println("head:", string(record.Value), err)

	// Output:
	// created: true
	// conflict: true not written: true
	// head: 1 <nil>
}
