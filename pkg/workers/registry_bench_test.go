package workers

import (
	"testing"
	"time"
)

// BenchmarkHeartbeat measures the heartbeats of a worker that goes on, and of one that starts again and
// again while its start times alternate.
func BenchmarkHeartbeat(b *testing.B) {
	for name, startedAt := range map[string]func(n uint64) int64{
		"same":      func(uint64) int64 { return 12_000 },
		"replaced":  func(n uint64) int64 { return 12_000 + int64(n/4) },
		"disorders": func(n uint64) int64 { return 12_000 - 2400*int64(n/4%2) + int64(n/8) },
	} {
		b.Run(name, func(b *testing.B) {
			r, now := NewRegistry(time.Minute), start
			b.ReportAllocs()
			for n := uint64(0); b.Loop(); n++ {
				now = now.Add(time.Second)
				_, _ = r.Heartbeat(heartbeatOfIncarnation("i1", startedAt(n), n+1, false), now)
			}
		})
	}
}
