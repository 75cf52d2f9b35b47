// Package fuzz runs the simulator of internal/sim for a number of steps under
// random faults and reports what its oracle found.
package fuzz
