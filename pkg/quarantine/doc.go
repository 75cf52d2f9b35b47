// Package quarantine finds requests that crash the workers which run them, and keeps
// them from being run any more. Such a request is known in the field as a query of
// death: it ends each worker that begins it, and everything that the worker had in hand
// with it, and comes again, since its caller got no answer.
//
// A Fingerprint tells that two requests are the same one.
package quarantine
