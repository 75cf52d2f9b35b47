// Package fleet holds the records that the nodes of a mesh publish about themselves,
// for deployments where every node may connect to every other one.
//
// Each node writes one record, its own. Records of one node are totally ordered
// by incarnation and sequence, so that tables merge in any order and two nodes
// that have exchanged all their records have equal tables. No node writes the record
// of another node: that a node cannot be reached is local knowledge of the node that
// tried; it is held in Contacts and never sent. There is one exception, where it is certain
// that a node has ended: the node that has its address writes its last record.
//
// Spread divides the nodes for a broadcast, and Readers chooses the few that read
// the store. Both are plain functions of a view; there are no clocks, sockets
// or goroutines here.
package fleet
