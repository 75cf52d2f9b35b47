// Package storeprotocol holds tests of the version store and of leases against
// the stand-in of the platform's store over TCP: outages before, during and
// after the write of an apply, lost answers, refusals for the rate of
// requests, lapsed leases, operators at once, restored copies, and
// linearizability of the head under connections that are reset.
package storeprotocol
