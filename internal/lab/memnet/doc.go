// Package memnet is a network inside one process, for nodes that run in it.
//
// Hosts listen and dial as on TCP: connections are streams with a delay, writers block
// when their peer does not read, and a connection that is reset fails on both sides.
// Hosts can be cut off from each other, in one direction or both; bytes written
// during a cut are held back until it ends, and opening a connection hangs.
//
// All waiting is on timers and condition variables, so that a deployment can run in
// a testing/synctest bubble, where time passes as fast as the program allows.
package memnet
