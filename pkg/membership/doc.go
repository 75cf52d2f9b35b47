// Package membership maintains the set of nodes that are live, leaving or lost.
//
// Records of one node are totally ordered by incarnation, attachment and
// state, so that tables merge in any order to the same result. The parent in the
// distribution tree detects the loss of a node. The node itself refutes a false
// report by attaching again with a higher attachment number.
package membership
