// Package baseline distributes the same changes to the same nodes in two plain
// ways, to compare the product with: every node polls the store, and one hub
// sends the whole configuration to every node.
//
// Both are kept better than they could be: a node counts as converged as soon as
// the bytes have arrived, without decoding or checking them, nothing is staged,
// and the store and the hub have no limit on their rate.
package baseline
