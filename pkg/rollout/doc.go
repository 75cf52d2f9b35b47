// Package rollout decides when a version may be put in force.
//
// A version is proposed, staged by every node beside the version it runs, and
// then either committed or aborted by a coordinator. Participant is the node's
// side and Coordinator the deciding side. Both are plain state machines: they
// have no clock, no goroutine and no socket of their own, so that they can be
// embedded anywhere and fuzzed step by step. Neither is safe for concurrent use.
//
// Safety rests on compare-and-swap of the Head record and on version numbers
// that only rise, never on a lease or on a clock.
package rollout
