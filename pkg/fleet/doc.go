// Package fleet holds what the nodes of a mesh tell of themselves, for
// deployments where every node may talk to every other one.
//
// Each node writes one record, its own. Records of one node are totally ordered
// by incarnation and sequence, so that tables merge in any order and two nodes
// that have exchanged all they hold are equal. Nobody writes the record of
// another node: that a node cannot be reached is a belief of the one who tried,
// kept in Contacts, and never travels.
//
// Spread parts the nodes for a broadcast, and Readers chooses the few that read
// the store. Both are plain functions of a view; there are no clocks, sockets
// or goroutines here.
package fleet
