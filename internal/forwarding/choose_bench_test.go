package forwarding

import (
	"fmt"
	"testing"
	"time"

	"github.com/levertide/levertide/pkg/slotqueue"
)

// BenchmarkChoose chooses among the largest number of workers to which a node sends requests of
// one service.
func BenchmarkChoose(b *testing.B) {
	for _, reports := range []bool{false, true} {
		b.Run(fmt.Sprint("tells=", reports), func(b *testing.B) {
			now := time.Unix(1000, 0)
			d := &destination{links: linkWaits{}, service: "s", self: "front", zone: "z"}
			for n := range maximumEndpoints {
				e := &endpoint{node: fmt.Sprint("w", n), zone: "z", slots: 12, slowness: 1, reportedAt: now}
				e.report = slotqueue.Load{Running: n % 12, Slots: 12, Hold: unknownHold}
				if reports {
					e.reportedSlowness.observe(1, now)
					e.foreignRequests.observe(float64(n%12), now)
				}
				d.ordered = append(d.ordered, e)
			}
			request := criteria{work: unknownHold, target: time.Second, waitLimit: unknownHold, reachable: func(string) bool { return true }}
			now = now.Add(reportDecay / 2)
			b.ReportAllocs()
			for b.Loop() {
				chosen, _ := d.choose(request, now)
				chosen.endpoint.outstanding--
			}
		})
	}
}
