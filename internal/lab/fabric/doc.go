// Package fabric gives processes on one machine the network of several zones.
//
// Every zone has loopback addresses of its own (127.0.<zone>.<host>). Links
// holds the one-way delay and the cuts between zones. Two users apply it: Relay
// is a TCP relay that stands in front of a listener of a real process, and
// Dialer delays connections of nodes that run inside the lab's own process.
// Both tell the source zone from the loopback address that was dialled from.
package fabric
