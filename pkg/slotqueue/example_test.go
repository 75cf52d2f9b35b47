package slotqueue_test

import (
	"context"
	"fmt"
	"time"

	"github.com/levertide/levertide/pkg/slotqueue"
)

func ExampleQueue() {
	queue := slotqueue.New(1)
	soon := slotqueue.Request{LatestStart: time.Now().Add(time.Millisecond)}
	permit, err := queue.Admit(context.Background(), soon)
	fmt.Println("first:", err)
	_, err = queue.Admit(context.Background(), soon)
	fmt.Println("second:", err)
	permit.Release(true)
	// Output:
	// first: <nil>
	// second: slotqueue.full: no slot is free in time
}
