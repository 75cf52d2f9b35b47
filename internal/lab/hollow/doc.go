// Package hollow runs many nodes in one process for experiments at full size.
// A hollow node is the node's own control engine, with its own listener,
// connections and member record, but without callers and workers.
//
// The process takes commands as JSON lines on standard input and answers each
// with one JSON line on standard output. Events of all nodes go to standard
// error in the form in which levertided writes them.
package hollow
