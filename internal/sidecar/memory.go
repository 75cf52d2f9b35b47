package sidecar

import "runtime/debug"

// heapShare is the share of the process's memory that the garbage collector keeps within;
// the rest is for stacks, code and data that is not yet read.
const heapShare = 0.6

// limitHeap bounds the heap of a process whose memory is limited to a number of MiB; zero
// sets no bound.
func limitHeap(mebibytes int) {
	if mebibytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(mebibytes) * (1 << 20)))
	}
}
