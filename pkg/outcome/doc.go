// Package outcome defines what is reported to callers about a request: a small
// set of outcomes, the reasons for them, the response headers that carry both,
// and the errors that represent them.
//
// An outcome says whether the request may have run. NotRun is claimed only when
// nothing of the request reached a worker, or when the worker itself reported
// that it refused the request before running it. When there is any doubt the
// outcome is Unknown.
package outcome
