// Package manifest parses operators' YAML files into resources.
//
// A file holds one or more documents, each of which declares one resource by
// kind, name and spec. Files and directories given together make one file set.
// Reading is strict: unknown kinds and fields, wrong types, duplicate names,
// anchors, aliases and tags are all faults. Load reports every fault of the
// set at once, each with its file, line and column. A fault never contains the
// value of a secret.
package manifest
