// Package slotqueue admits requests to a worker that runs a fixed number of them at once.
// Requests that find no free slot wait in order of rank. Within a rank, requests whose
// answer can still be in time go before those whose answer cannot; tenants take turns by
// slot time (start-time fair queueing); and of one tenant, the request with the earliest
// start that still lets its answer be in time goes first. Requests without a due time go by
// arrival. A request that cannot be expected to start while its answer is still useful is
// refused at once, with the wait that it would have met, so that the caller knows when to
// retry; one that is still waiting at its latest useful start is refused then.
//
// The expected wait is computed from the requests ahead in the queue, from the expected
// remaining time of the running requests by their class of work, and from the recent demand
// of lower ranks. Some slots are withheld from long work while more urgent, much shorter
// requests are expected.
package slotqueue
