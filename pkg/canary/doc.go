// Package canary decides whether the traffic of a service may move to a new version of
// its workers: it compares what the workers of both versions did, says which share of
// the requests the new version gets, and ends with the new version in use or taken back.
//
// It holds state machines only, without clock, goroutine or socket. Whoever embeds it
// hands over the time and tallies of finished requests, and carries out the shares.
package canary
