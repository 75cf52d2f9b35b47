// Package topology works out the distribution tree. Every node computes its own
// place from its own view of the live members; there is no agreement and no
// message of its own.
//
// Nodes are ordered by a Key that is a fixed function of region, zone and
// identifier. A node's parents always precede it in that order, or else read
// the store themselves, so that nodes with different views cannot form a loop.
package topology
