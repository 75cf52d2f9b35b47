// Package topology works out the distribution tree. Every node computes its own
// place from its own view of the live members; there is no agreement and no
// message of its own.
//
// Nodes are ordered by a Key that is a fixed function of region, zone and
// identifier. A node's parents precede it in that order, or else read the store
// themselves; a node that reads the store has only earlier readers as parents.
// So nodes with different views cannot form a loop, as long as a node leaves a
// parent for which Assignment.MustBeReader holds once that parent no longer
// reads the store.
package topology
