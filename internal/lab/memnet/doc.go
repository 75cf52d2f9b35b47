// Package memnet is a network inside one process, for nodes that run in it.
//
// Hosts listen and dial as on TCP: connections are streams with a delay, peers that
// do not read hold writers up, and a connection that is reset fails on both sides.
// Hosts can be cut off from each other, in one direction or both; what is written
// during a cut is held back, and opening a connection hangs.
//
// All waiting is on timers and condition variables, so that a deployment can run in
// a testing/synctest bubble, where time passes as fast as the program allows.
package memnet
