// Package quarantine detects requests that crash the workers which run them, and stops
// them from being run. Such a request is commonly called a query of death: it crashes
// each worker that starts it, all other requests in flight on that worker are lost, and
// it is sent again, since its caller got no answer.
//
// A Fingerprint identifies repetitions of the same request. A Table holds the evidence
// known to one node, both its own and what other nodes have reported:
//
//   - A crash of a worker is evidence against each request that the worker was running,
//     but weak evidence: all of them but one are innocent. Crashes add up only if each run
//     began when the previous crashes were known (see Report.Level), so that workers which
//     end at the same moment for an unrelated reason count as one crash for all copies of
//     a request.
//   - A complete answer is evidence for a request: one that crashes each worker is never
//     answered.
//
// A request that has crashed a worker is a suspect. A worker should run no more than one
// suspect at a time: the next crash then shows which request caused it. A suspect that
// has crashed as many workers as Options.Limit allows is quarantined for
// Options.Duration.
//
// A Table has no clock, sockets or goroutines of its own. The caller sends the reports
// that it returns to the other nodes.
package quarantine
