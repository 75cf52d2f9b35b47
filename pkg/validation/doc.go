// Package validation checks a complete set of resources: names, sizes and limits,
// references between resources, and routes that can never match.
//
// Validate reports the faults of a file set with their positions in the files, for
// operators. CheckResources applies the same rules to resources without files.
// CheckPart applies the rules that also hold for a part of a set, such as a node
// holds.
//
// Of the routes that match a request, the one with the more specific host takes
// precedence (exact, then the longest "*.suffix", then "*"), then the one with the
// more specific path (exact, then the longest prefix), then one that lists
// methods over one that does not. Under this order a route is shadowed only by one
// with the same host and the same path: a wider host or path never takes precedence
// over a narrower one, and a narrower one never matches all requests of a wider one.
package validation
