// Package contain keeps a panic to the work that has raised it. What is contained is reported with
// its value and the top of its stack, and says whether state that other work shares may have been
// left half changed: the process must then serve nothing new from it, and end in order.
//
// A fatal error of the runtime cannot be contained.
package contain
