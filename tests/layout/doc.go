// Package layout holds the tests of how the tree is laid out: which package may
// import which, and which names stand where.
package layout
