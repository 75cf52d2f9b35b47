// Package observe checks and measures an experiment from outside: it reads the
// event lines of nodes, checks that the version of a node never decreases and that only
// committed versions are in force, and computes how long a version took to be in force.
//
// It shares no code with the nodes that it checks.
package observe
