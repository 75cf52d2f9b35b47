// Package slotqueue admits requests to a worker that runs a fixed number of them
// at once. Requests that find no free slot wait in order of rank, and of arrival
// within a rank. One that cannot be expected to start while its answer is still
// useful is refused at once, with a time to come back; one that has waited for
// too long is refused when that time comes.
//
// The expected wait is worked out from the requests ahead and from how long
// requests have held their slots lately.
package slotqueue
