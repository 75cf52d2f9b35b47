package daemon

import (
	"os"
	"runtime/debug"
)

// Collection of garbage. A node's live heap is a few tens of megabytes, so that
// the default of collecting at twice the heap collects many times a second
// under calls, which shows in their tail. A larger share is traded for fewer
// collections, and the limit keeps the node within its 256 MB all the same.
const (
	garbagePercent   = 400
	memoryLimitBytes = 192 << 20
	percentVariable  = "GOGC"
	limitVariable    = "GOMEMLIMIT"
)

// tuneMemory sets the collector, unless the environment does.
func tuneMemory() {
	if os.Getenv(percentVariable) == "" {
		debug.SetGCPercent(garbagePercent)
	}
	if os.Getenv(limitVariable) == "" {
		debug.SetMemoryLimit(memoryLimitBytes)
	}
}
