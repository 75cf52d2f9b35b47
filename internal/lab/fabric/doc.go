// Package fabric emulates a network of several zones between processes on one machine.
//
// Every zone has loopback addresses of its own (127.0.<zone>.<host>). Links holds the one-way delays
// and the cuts between zones, and three types apply them: Relay is a TCP relay in front of a listener
// of a real process, Dialer delays connections that nodes inside the lab's own process open, and
// Listener delays connections that real processes open to such nodes. Relay and Listener infer the
// source zone from the loopback address from which the connection was dialled.
package fabric
