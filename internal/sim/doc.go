// Package sim runs the coordination code of levertide (rollout, membership,
// topology, versionstore, snapshot, balance, admission and retry) in a
// simulated world: network, clock, store, operators and callers are all driven
// by one seed, so that a run can be repeated exactly.
//
// A step is one event: a message that arrives, a timer, or a request to the
// store. Faults are injected between steps. After each step an oracle, which
// shares no code with what it checks, compares what happened with a simple
// model of the invariants that must always hold.
package sim
