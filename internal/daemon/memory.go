package daemon

import (
	"os"
	"runtime/debug"
)

// Settings of the garbage collector. A node's live heap is a few tens of megabytes,
// so that the default GOGC, which collects whenever the heap has doubled, runs many
// collections a second under load, which raises the tail latency of calls. A higher
// GOGC trades memory for fewer collections, and the memory limit keeps the node
// within its 256 MB nevertheless.
const (
	garbagePercent   = 400
	memoryLimitBytes = 192 << 20
	percentVariable  = "GOGC"
	limitVariable    = "GOMEMLIMIT"
)

// tuneMemory configures the garbage collector, except for what the environment sets.
func tuneMemory() {
	if os.Getenv(percentVariable) == "" {
		debug.SetGCPercent(garbagePercent)
	}
	if os.Getenv(limitVariable) == "" {
		debug.SetMemoryLimit(memoryLimitBytes)
	}
}
