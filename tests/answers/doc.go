// Package answers holds tests of answers that never end, from whatever a node asks: workers, also in
// health checks, other nodes and the store.
//
// The tests play them to real processes on loopback addresses with the memory of a deployment, and check
// that no process ends or holds more than its machine has, that other clients are served in time, that
// the connections are closed in the end, and that nothing of it looks like a whole answer.
package answers
