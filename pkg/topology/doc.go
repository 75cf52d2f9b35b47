// Package topology computes the distribution tree of configuration. Every node
// computes its own position from its own view of the live members, without
// consensus and without any messages.
//
// Nodes are ordered by a Key that is a fixed function of region, zone and
// identifier. A node's parents precede it in that order, or else read the store
// themselves; a node that reads the store has only preceding readers as parents.
// So nodes with different views cannot form a loop, as long as a node leaves a
// parent for which Assignment.MustBeReader holds once that parent no longer
// reads the store.
package topology
