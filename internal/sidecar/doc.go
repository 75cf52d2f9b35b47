// Package sidecar assembles a node in hosted mode: it opens the listeners,
// connects the call path with the coordination between nodes, reports whether the
// node accepts calls, and carries out a planned stop. An Adapter implements all
// that is specific to the platform.
package sidecar
