// Package retry bounds how often and for how long requests are retried.
//
// Three bounds work together. Allowance travels with a call and bounds the
// additional attempts of the whole tree of calls below it, so that levels do not
// multiply each other's retries. Budget bounds the share of retries in the requests
// to one service. Backoff spreads retries in time with full jitter. Attempts
// combines the first two: it decides after each failed attempt whether another one
// is made, and which failure is reported to the caller at the end. The deadline of
// a call travels as the remaining time, so that clocks of different machines are
// never compared.
//
// Nothing here reads a clock: the time is passed in.
package retry
