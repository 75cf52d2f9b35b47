// Package coordination runs the simulator of internal/sim for longer and in
// other shapes than its own tests do.
package coordination
