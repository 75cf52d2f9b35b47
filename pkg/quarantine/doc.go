// Package quarantine finds requests that crash the workers which run them, and keeps
// them from being run any more. Such a request is known in the field as a query of
// death: it ends each worker that begins it, and everything that the worker had in hand
// with it, and comes again, since its caller got no answer.
//
// A Fingerprint tells that two requests are the same one. A Table holds the evidence of
// one node, its own and what other nodes have told:
//
//   - A crash of a worker speaks against each request that the worker had in hand, but
//     weakly: all of them but one are innocent. Only runs that began when the crashes
//     before were known add up (see Report.Level), so that workers which end at the same
//     moment, for a reason of their own, count as one crash for all copies of a request.
//   - A whole answer speaks for a request: one that crashes each worker is never answered.
//
// A request that has crashed a worker is a suspect. Whoever runs it should run no other
// suspect on the same worker meanwhile: the next crash then tells which of them it was.
// A suspect that has crashed as many workers as the limit allows is quarantined, for as
// long as Options.Duration says.
//
// A Table has no clock, sockets or goroutines of its own. What it returns as reports is
// to be brought to the other nodes by whatever means they have.
package quarantine
