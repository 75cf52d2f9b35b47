// Package control is the engine that every node runs: it keeps the node's place
// in the distribution tree, learns versions and members from its parent, serves
// them to its children, sums up readiness on the way to the coordinator, and,
// where the node's rank asks for it, reads the platform's store and decides when
// a version is committed.
//
// A Node is one engine. Several may run in one process; a Shared lets them share
// the caches whose contents are the same for all. Versions reach the rest of the
// process through Node.Current, one pointer that is swapped as a whole and never
// to a lower version.
package control
