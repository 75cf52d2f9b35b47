// Package versionstore keeps numbered versions of the configuration in the
// platform's key-value service.
//
// Resources are stored under their content address, each version has one
// record that lists its resources, and one head record says which version is
// committed and which is proposed. Every step is one compare-and-swap of the
// head, so that of several writers exactly one succeeds and the others get
// ErrConflict. When the response to a write is lost, the store is read back
// before anything else is sent.
//
// A VersionStore remembers the newest head that it has seen. A store that
// returns an older one was restored from an old copy; every method that reads
// the head then fails with ErrStoreRegressed until the store is ahead again.
package versionstore
