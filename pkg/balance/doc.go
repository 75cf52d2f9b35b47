// Package balance chooses which worker of a service takes a request.
//
// A Balancer holds the endpoints of one service and the observations of each. It
// prefers its own zone, and spills over to its own region and then further as the
// nearer endpoints get overloaded or run out. Among the endpoints of one tier it
// applies the power of two choices to the requests outstanding from here and the
// load that the endpoints reported, which counts for less as it gets older and for
// more as requests are sent before the next report.
//
// An endpoint that has just started gets its share gradually. One that fails
// repeatedly is ejected for a time that doubles with each ejection; only a bounded
// part of the endpoints may be ejected, and when too few remain the ejections are
// ignored (panic mode). Endpoints that are leaving or reported that they drain get
// no further requests.
//
// All methods are safe for concurrent use. Pick neither locks nor allocates.
package balance
