// Package workers holds the registrations of the workers beside one node, by
// their heartbeats. The node beside a worker is the authority for it: no other
// node reaches the worker, and none is told of it but by that node.
//
// A promise to leave a worker alone is final. Heartbeats overtake each other
// and come late, so that a ready one may follow a draining one; it changes
// nothing. A node that was restarted learns what its former life promised from
// other nodes, with Learn, before it gives work to anybody.
package workers
