package sidecar

import (
	"context"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"golang.org/x/time/rate"

	"github.com/levertide/levertide/internal/telemetry"
)

const (
	// heapShare is the share of the process's memory that the garbage collector keeps within;
	// the rest is for stacks, code and data that is not yet read.
	heapShare = 0.6
	// fullShare is the share of the process's memory from which on it is logged how much is used.
	fullShare = 0.85
	// memoryInterval is how often the memory in use is looked at, and memoryLineInterval the shortest
	// time between two lines on it.
	memoryInterval     = time.Second
	memoryLineInterval = 5 * time.Second
	bytesPerMebibyte   = 1 << 20
)

// limitHeap bounds the heap of a process whose memory is limited to a number of MiB; zero
// sets no bound.
func limitHeap(mebibytes int) {
	if mebibytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(mebibytes) * bytesPerMebibyte))
	}
}

// memoryWatch logs when the process comes near the limit of its memory. It is a suture service.
type memoryWatch struct {
	log *telemetry.Log
	// limit is in bytes.
	limit    uint64
	inFlight func() int64
}

// String names the service in events.
func (w *memoryWatch) String() string { return "memory" }

// Serve watches until the context ends.
func (w *memoryWatch) Serve(ctx context.Context) error {
	ticker := time.NewTicker(memoryInterval)
	defer ticker.Stop()
	lines := rate.NewLimiter(rate.Every(memoryLineInterval), 1)
	for {
		select {
		case <-ticker.C:
			used := memoryInUse()
			if float64(used) >= fullShare*float64(w.limit) && lines.Allow() {
				w.log.MemoryNearLimit(used, w.limit, runtime.NumGoroutine(), w.inFlight())
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// memoryInUse returns how many bytes of memory the runtime has of the operating system.
func memoryInUse() uint64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}
