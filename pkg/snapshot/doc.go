// Package snapshot holds immutable, numbered sets of resources and the
// differences between them.
//
// A Snapshot is closed: every route in it names a service and a secret that
// are in it too. Snapshots share their resources, so that a restriction or a
// successor costs little more than a list of pointers. A Delta names the
// digests of both its ends and refuses to be applied anywhere else, so that
// differences which arrive late, twice or out of order do no harm.
//
// Restrict cuts a snapshot down to what one node needs. What it leaves out but
// must not be taken for absent, since requests could go astray, is named by
// OutOfScope.
//
// Nothing that a Snapshot returns may be changed by its callers.
package snapshot
