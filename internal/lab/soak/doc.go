// Package soak runs a small deployment in hosted mode inside one process, with
// the product's own nodes on loopback, fakes of the store and the workers, and
// callers, while faults are injected. A ledger of the outcomes that callers were
// given and the requests that workers ran is checked against the rules that must
// always hold. The faults of a run are decided by its seed; their effects depend on
// real time.
package soak
