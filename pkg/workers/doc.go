// Package workers holds the registrations of the workers beside one node, built
// from their heartbeats. The node beside a worker is the authority for it: no
// other node reaches the worker, and the other nodes hear of it from that node only.
//
// A drain commitment (to send a worker no new work) is final. Heartbeats can be
// reordered and delayed, so a ready one may arrive after a draining one; it is
// then ignored. A restarted node obtains the commitments of its previous
// incarnation from other nodes, with Learn, before it sends work to any worker.
package workers
