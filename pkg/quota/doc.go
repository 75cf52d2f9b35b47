// Package quota enforces rate limits of tenants over many processes together, without a
// store and without an election.
//
// Every node owns an equal share of each limit. It leases its share for a short term to one
// node of its zone, the hub, and borrows tokens from it. The hub mints tokens for the shares
// that it holds, and hubs move tokens to other hubs that have too few. A node that loses its
// hub gets its share back when the lease ends, and then admits requests from that share. The
// shares of all nodes add up to one limit at most. Therefore all nodes together stay within
// rate × window + burst, whichever nodes are cut off, restarted or suspended.
//
// The package only makes decisions: the caller passes in the time and transports the
// messages.
package quota
