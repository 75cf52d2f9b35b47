package forwarding

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/outcome"
)

// TestWorkersGetNoTimeThatCallersLack suspends the machine of the worker or of the caller's node:
// the monotonic clock stops, but the caller's time goes on. Without the correction the worker was
// given the full time of the call, 2.5 s more than its caller had.
func TestWorkersGetNoTimeThatCallersLack(t *testing.T) {
	const suspension = 2500 * time.Millisecond
	for name, suspended := range map[string]func(front, beside *testNode) *testNode{
		"machine of the worker": func(_, beside *testNode) *testNode { return beside },
		"machine of the caller": func(front, _ *testNode) *testNode { return front },
	} {
		t.Run(name, func(t *testing.T) {
			front, nodes, all := meshOf(t, 1)
			var given atomic.Int64
			all[0].answer(func(w http.ResponseWriter, r *http.Request) {
				left, _ := strconv.ParseInt(r.Header.Get("X-Timeout"), 10, 64)
				given.Store(left)
				_, _ = w.Write([]byte("answer"))
			})
			suspended(front, nodes[0]).suspended.Store(int64(suspension))
			if status, _, _ := get(t, front, "/read/1"); status != http.StatusOK {
				t.Fatalf("status %d", status)
			}
			// The timeout of the caller is 4 s.
			if most := 4000 - suspension.Milliseconds(); given.Load() > most {
				t.Errorf("the worker was given %d ms, the caller had %d", given.Load(), most)
			}
		})
	}
}

// TestCallWhoseTimeWasSuspendedAwayIsNotBegun suspends a machine for longer than the caller of a
// call waits.
func TestCallWhoseTimeWasSuspendedAwayIsNotBegun(t *testing.T) {
	front, nodes, all := meshOf(t, 1)
	for _, node := range []*testNode{front, nodes[0]} {
		node.suspended.Store(int64(5 * time.Second))
		if status, _, _ := post(t, front, "/file/1", "body"); status != http.StatusServiceUnavailable {
			t.Errorf("status %d", status)
		}
		if reason := (<-front.reports).Reason; reason != outcome.DeadlineBeforeStart {
			t.Errorf("the reason is %s", reason)
		}
		node.suspended.Store(0)
	}
	if runs := all[0].calls.Load(); runs != 0 {
		t.Errorf("%d calls were run", runs)
	}
}
