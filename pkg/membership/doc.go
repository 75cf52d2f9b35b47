// Package membership keeps the set of nodes that are live, leaving or lost.
//
// Records of one node are totally ordered by incarnation, attachment and
// state, so that tables merge in any order to the same result. Loss is noticed
// by the parent in the distribution tree and is refuted by the node itself,
// which attaches again under a higher attachment number.
package membership
