package sidecar

import "runtime/debug"

// heapShare is the share of the process's memory that the collector keeps
// within; the rest is for stacks, code and what is not yet read.
const heapShare = 0.6

// limitHeap bounds the heap of a process of the given size in MiB; zero is without
// bound.
func limitHeap(limit int) {
	if limit > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(limit) * (1 << 20)))
	}
}
