package pace_test

import (
	"fmt"
	"time"

	"github.com/levertide/levertide/pkg/pace"
)

func ExamplePacer() {
	now := time.Now()
	pacer := pace.New(4, now)
	fmt.Println("at once:", pacer.Ready(now), "wait:", pacer.Wait(0, now))
	now = now.Add(250 * time.Millisecond)
	fmt.Println("after a quarter of a second:", pacer.Ready(now))
	pacer.Take(now)
	fmt.Println("then:", pacer.Ready(now))
	// Output:
	// at once: false wait: 250ms
	// after a quarter of a second: true
	// then: false
}
