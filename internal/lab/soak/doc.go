// Package soak runs a small deployment in hosted mode inside one process, with
// the product's own nodes on loopback, stand-ins for the store and the workers,
// and callers, while faults strike. A ledger of what callers were told and what
// workers ran is checked against what must always hold. The faults of a run are
// decided by its seed; their effects depend on real time.
package soak
