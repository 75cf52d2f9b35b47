// Package experiment reads experiment files: YAML documents that describe a
// deployment, the work that it gets, and a timeline of changes and faults.
//
// A file is read strictly. Unknown fields, values out of bounds and references
// to zones or services that the deployment does not have are all faults, each
// reported with its line where the file has one.
package experiment
