// Package storeprotocol holds tests of the version store and of leases against
// the stand-in of the platform's store over TCP: outages before, during and
// after the write of an apply, lost answers, refusals by the rate limit, lapsed
// leases, concurrent operators, restored copies, and linearizability of the head
// while connections are reset.
package storeprotocol
