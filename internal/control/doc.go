// Package control is the engine that every node runs. It maintains the node's
// place in the distribution tree, receives versions and members from its parent,
// serves them to its children, aggregates readiness on the way to the
// coordinator, and, depending on the node's rank, reads the platform's store and
// decides when a version is committed.
//
// A Node is one engine. Several may run in one process; a Shared holds caches
// that they have in common. The rest of the process reads the version in force
// through Node.Current, a pointer that is swapped atomically and never to a
// lower version.
package control
