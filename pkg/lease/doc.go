// Package lease lets one of several processes hold a key of the platform's
// store for as long as it keeps renewing it.
//
// A lease limits load; no safety property may depend on it. A holder that was
// paused, or cut off from the store, may believe for a moment that it still
// holds a key that another process has taken since. What must not happen twice
// has to be guarded by a compare-and-swap as well.
//
// A Lease measures on its own clock, from the moment at which its last
// successful renewal was sent, so that a holder which was paused past the time
// to live finds out from Valid at once, without asking the store.
package lease
