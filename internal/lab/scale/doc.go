// Package scale runs the emulation at full size: hollow nodes that share
// processes, real levertided processes beside them in the same tree, and the
// store stand-in, with the delays of zones and regions between them. It applies
// changes, lets herds of nodes die, and measures both from outside.
package scale
