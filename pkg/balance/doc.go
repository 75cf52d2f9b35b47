// Package balance chooses which worker of a service takes a request.
//
// A Balancer holds the endpoints of one service and what was seen of each. It
// prefers its own zone, spills over to its own region and then further as the
// nearer endpoints get overloaded or run out, and chooses among the endpoints
// of one tier by the power of two choices over the requests outstanding from
// here and the load that the endpoints reported, which counts for less as it
// gets older and for more as requests are sent before the next report.
//
// An endpoint that has just come up gets its share little by little. One that
// fails again and again is ejected for a time that doubles with each ejection;
// only a bounded part of the endpoints may be ejected, and when too few remain
// the ejections are disregarded (panic mode). Endpoints that are leaving or said
// that they drain get no further requests.
//
// All methods are safe for concurrent use. Pick neither locks nor allocates.
package balance
