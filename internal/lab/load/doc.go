// Package load measures calls: directly to workers and through two nodes, side
// by side in one run. Calls start at the moments of a Poisson process whatever
// the answers do, and each time is taken from that moment, so that a slow
// answer hides no other (no coordinated omission).
//
// The nodes are levertided processes when Options.Levertided names the program,
// and data planes inside the lab's process otherwise; the report says which.
// The workers are stand-ins inside the lab's process. They record executions,
// and every answer is checked against its own request.
package load
