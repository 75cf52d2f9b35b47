// Package worker is the lab's stand-in for a back end: an HTTP/1.1 server with
// slots, a limit on connections, a cold start, load shedding, drain, deadlines
// and cancellation, and health and load endpoints that can lag or lie.
//
// It records each execution by the identifier of its request, so that duplicate
// and cut-short executions can be counted from outside, and each answer is a
// fixed function of the request's identifier and body, so that a caller can
// verify that it got the whole answer to its own request. It can be told to
// fail in the ways in which back ends do, and to call a next service.
package worker
