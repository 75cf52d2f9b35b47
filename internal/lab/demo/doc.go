// Package demo runs experiments on deployments of real processes: it starts the processes, applies
// file sets with the operators' command, injects faults while calls run, and finally checks the
// properties that must always hold.
package demo
