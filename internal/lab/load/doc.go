// Package load measures the latency and outcome of calls made directly to workers and of calls
// through two nodes, side by side in one run. Calls start at the times of a Poisson process
// regardless of the answers, and each latency is measured from the scheduled start, so that a slow
// answer does not delay or hide other calls (no coordinated omission).
//
// The nodes are levertided processes when Options.Levertided names the program,
// and data planes inside the lab's process otherwise; the report says which.
// The workers are stand-ins inside the lab's process. They record executions,
// and every answer is checked against its own request.
package load
