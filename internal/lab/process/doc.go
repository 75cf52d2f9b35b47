// Package process starts, signals and stops the real processes of an
// experiment, hands on the lines that they write to standard error, and reads
// the processor time and memory that they use.
//
// Processes are signalled by their own identifier only, and none outlives the
// lab: the kernel kills them when the lab's process ends.
package process
