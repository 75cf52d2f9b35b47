// Package coordination runs the simulator of internal/sim for longer and with
// other topologies than its own tests do.
package coordination
