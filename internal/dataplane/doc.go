// Package dataplane forwards calls: from a caller to the node beside it, from
// there to the node beside a worker, and from there to the worker. It speaks
// HTTP/1.1 on all of these connections.
//
// A Plane has two handlers. CallerHandler accepts the requests of callers, finds
// the route, chooses a worker's node, and retries where that is allowed.
// PeerHandler accepts the requests of other nodes, admits them and forwards them
// to the worker; it never forwards to another node and never retries. So one
// node alone decides whether a request is sent a second time.
//
// The guarantees to callers are documented in docs/CALLS.md. In short:
//
//   - not-run is reported only when nothing of the request was written to a
//     worker, or when the worker itself reported that it refused.
//   - A request that may not be repeated is sent to a second worker only after
//     a not-run. http.Transport cannot resend any request by itself.
//   - A truncated answer ends the caller's connection.
//
// Each call uses one snapshot from beginning to end on each node.
package dataplane
