// Package snapshot holds immutable, numbered sets of resources and the
// differences between them.
//
// A Snapshot is closed: the services and the secret that a route in it names are in
// it too. Snapshots share their resources, so that a restriction or a successor
// costs little more than a list of pointers. A Delta names the digests of its base
// and of its target and can be applied to no other base, so that deltas which
// arrive late, twice or out of order do no harm.
//
// Restrict reduces a snapshot to what one node needs. OutOfScope lists the routes
// that it leaves out although they overlap with routes that it keeps: if they were
// taken for absent, requests would go to the wrong service.
//
// Nothing that a Snapshot returns may be changed by its callers.
package snapshot
