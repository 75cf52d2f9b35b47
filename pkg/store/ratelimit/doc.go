// Package ratelimit bounds the rate of requests that one process sends to the
// platform's store, with two priorities, and waits as long as the store asks
// when it refuses a request for its rate.
//
// Housekeeping requests are let through only while a reserve is left and no
// normal request waits, so that they never delay an apply.
package ratelimit
