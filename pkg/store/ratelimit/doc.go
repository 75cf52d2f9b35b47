// Package ratelimit limits the rate of requests that one process sends to the
// platform's store, with two priorities. When the store refuses a request because
// of its own rate limit, the process waits for as long as the store requests.
//
// Housekeeping requests are admitted only while more tokens than a reserve are left
// and no normal request waits, so that they never delay an apply.
package ratelimit
