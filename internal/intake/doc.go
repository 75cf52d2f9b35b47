// Package intake bounds what clients can make a node hold, in sum over all of them: connections,
// with their descriptors and buffers, and the memory for heads, bodies and answers.
//
// A Ledger counts both before they are taken. Each connection has an Account, and each request on
// it a Hold. Where a bound is reached, the client that has kept the node waiting for longest gives
// up its connection, with all that it holds; whoever needs the room waits for that, and is refused
// when there is none in time. A client for which the node works is never closed.
//
// Plan derives the bounds from the memory and the descriptors of the machine.
package intake
