package sidecar

import "runtime/debug"

// collectorShare is the share of the process's memory that the collector keeps
// within; the rest is for stacks, code and what is not yet read.
const collectorShare = 0.6

// tuneMemory bounds the heap of a process of the given size in MiB; zero is without
// bound.
func tuneMemory(limit int) {
	if limit > 0 {
		debug.SetMemoryLimit(int64(collectorShare * float64(limit) * (1 << 20)))
	}
}
