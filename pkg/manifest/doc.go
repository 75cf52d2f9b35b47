// Package manifest reads operators' YAML files into resources.
//
// A file holds one or more documents, each of which declares one resource by
// kind, name and spec. Files and directories given together make one file set.
// Reading is strict: unknown kinds and fields, wrong types, duplicate names,
// anchors, aliases and tags are all faults. Load reports every fault of the
// set at once, each with the file, line and column that it comes from. A fault
// never repeats the value of a secret.
package manifest
