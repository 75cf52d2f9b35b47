// Package process starts, signals and stops the real processes of an
// experiment, forwards the lines that they write to standard output and
// standard error, and reads the processor time and memory that they use.
//
// Processes are signalled only by their own process ID, and none outlives the lab: the kernel kills
// them when the lab's process ends.
package process
