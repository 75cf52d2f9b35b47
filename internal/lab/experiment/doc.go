// Package experiment reads experiment files: YAML documents that describe a
// deployment, the calls made to it, and a timeline of changes and faults.
//
// A file is read strictly. Unknown fields, values out of bounds and references
// to zones or services that the deployment does not have are all errors, each
// reported with its line where it has one in the file.
package experiment
