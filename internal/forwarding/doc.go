// Package forwarding carries calls in deployments where the platform decides the
// configuration: from a caller to the node beside it, from there to the node
// beside a worker, and from there to the worker. It speaks HTTP/1.1 on every leg.
//
// The node where a call begins finds the route, holds a short body whole, chooses
// the worker and alone decides about further attempts. The node beside the
// worker admits calls to the worker's slots and refuses what cannot start in
// time. A worker beside the node where the call begins is reached without a
// second node.
//
// Every failure is one of package outcome: not-run only when no worker has begun
// the call and none will, unknown otherwise. A call that may not be repeated is
// sent to a second worker only after not-run. An answer that breaks off ends the
// caller's connection, so that it cannot look whole.
//
// How callers and workers spell ids, deadlines and refusals is a Dialect; the
// headers between nodes are this package's own.
package forwarding
