// Package forwarding forwards calls in deployments where the platform decides the configuration:
// from a caller to the node beside it, from there to the node beside a worker, and from there to
// the worker. Every connection uses HTTP/1.1.
//
// The node where a call begins finds the route, buffers a short body completely, chooses the
// worker and alone decides about further attempts. The node beside the worker admits calls to the
// worker's slots and refuses those that cannot start in time. A worker beside the node where the
// call begins is reached without a second node.
//
// Every failure is one of package outcome: not-run only when no worker has begun the call and
// none will, unknown otherwise. A call that may not be repeated is sent to a second worker only
// after not-run. A truncated answer ends the caller's connection, so that the caller cannot take
// it for a complete one.
//
// A Dialect says how callers and workers write ids, deadlines and refusals; the headers between
// nodes belong to this package.
package forwarding
