// Package results holds the JSON objects that experiments write and that the
// report reads. A figure that was not measured is nil, which JSON shows as null.
package results
