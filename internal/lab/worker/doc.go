// Package worker is the lab's stand-in for a back end: an HTTP/1.1 server with
// slots, a limit on connections, a cold start, load shedding, drain, deadlines
// and cancellation, and health and load endpoints that can report stale or false
// values.
//
// It records each execution by the identifier of its request, so that duplicate
// and cut-short executions can be counted from outside, and each answer is a
// fixed function of the request's identifier and body, so that a caller can
// verify that it got the complete answer to its own request. Faults that are common
// in back ends can be injected, and it can call a next service for each request.
package worker
