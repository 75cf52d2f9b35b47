// Package observe checks and measures an experiment from outside: it reads the
// event lines of nodes, checks that versions never fall and that only committed
// ones are in force, and works out how long a version took to be in force.
//
// It shares no code with the nodes that it checks.
package observe
