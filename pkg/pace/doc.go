// Package pace spaces the starts of requests to a worker that takes only so many of them per
// second. The node beside the worker keeps one Pacer for it: all requests to the worker pass that
// node, so that the limit holds over all nodes without a message between them.
//
// A Pacer admits the limit itself, with a burst that stays far below what a window of a few
// seconds may exceed it by. A new Pacer has no start saved up: what a previous one, or a previous
// incarnation of the node, has admitted just before is not known.
package pace
