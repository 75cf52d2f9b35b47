// Package canary decides whether the traffic of a service may move to a new version of
// its workers: it compares the results of the workers of both versions, sets the share of
// the requests that the new version gets, and ends with the new version in use or rolled
// back.
//
// It holds state machines only, without clock, goroutine or socket. The embedding program
// passes in the time and tallies of finished requests, and routes requests by the shares.
package canary
