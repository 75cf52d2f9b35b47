// Package addresses holds tests of addresses that another writer gives to the nodes: in heartbeats, in the
// list of nodes, and in documents. Each is odd in its own way, and is there before, through and after the
// loss of all nodes at once, beside a store that is slow or silent.
//
// The tests play them to real processes on loopback addresses. They check that no process ends, that each
// service is served at each node within the time that users expect after a loss of all nodes, and that it
// stays served. Each restart logs its time beside that of a plain one.
//
// The long form is run by hand, with the flags of fixture_test.go:
//
//	go test -race -run TestDrawnWritersThroughRestarts ./tests/addresses -args -seeds 50 -first-seed 1 -restarts 8
package addresses
