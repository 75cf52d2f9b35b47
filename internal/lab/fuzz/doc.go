// Package fuzz runs the simulator of internal/sim for a number of steps under
// random faults and reports the violations that the simulator's checks found.
package fuzz
