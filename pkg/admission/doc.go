// Package admission decides, at the node beside a worker, whether a request may
// start on that worker now, waits a little, or is refused before anything of it
// has reached the worker.
//
// A Gate knows the worker's slots (requests it runs at once) and connections.
// A request that finds no free slot waits in a short queue ordered by priority;
// the wait is bounded by the caller's deadline and by Options.QueueWait. When the
// queue is full the lowest priority is refused first. A refusal is an error of
// type ErrShed, carries the time after which a retry is worthwhile, and always
// means that the request did not run.
//
// A worker that has just started is given few slots at first (slow start). An
// adaptive limit lowers the number of slots in use when answers get slow or the
// worker itself refuses, and raises it again, so that a worker which overstates
// its capacity is not overloaded.
//
// All methods are safe for concurrent use. The gate starts no goroutines.
package admission
