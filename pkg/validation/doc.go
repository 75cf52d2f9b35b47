// Package validation checks a set of resources as a whole: names, sizes and
// limits, references between resources, and routes that can never match.
//
// Validate reports on a file set with places in the files, for operators.
// CheckResources applies the same rules to resources without files, and
// CheckPart those that also hold for a part of a set, as nodes hold it.
//
// Of the routes that match a request, the one with the more specific host goes
// first (exact, then the longest "*.suffix", then "*"), then the one with the
// more specific path (exact, then the longest prefix), then one that lists
// methods before one that does not. Under this order a route is shadowed only
// by one with the same host and the same path: a wider host or path never goes
// before a narrower one, and a narrower one never takes all of a wider one.
package validation
