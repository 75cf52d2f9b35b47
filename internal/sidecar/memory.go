package sidecar

import "runtime/debug"

const (
	// collectorPercent trades memory for processor time: a node's live heap is
	// a few megabytes, so that a larger share costs little.
	collectorPercent = 300
	// collectorShare is the share of the process's memory that the collector
	// keeps within; the rest is for stacks, code and what is not yet read.
	collectorShare = 0.6
)

// tuneMemory sets the collector for a process of the given size in MiB; zero is
// without bound.
func tuneMemory(limit int) {
	debug.SetGCPercent(collectorPercent)
	if limit > 0 {
		debug.SetMemoryLimit(int64(collectorShare * float64(limit) * (1 << 20)))
	}
}
