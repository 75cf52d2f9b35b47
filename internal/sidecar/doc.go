// Package sidecar is the wiring of a node in hosted mode: it opens the listeners,
// puts the call path and the coordination together, tells whether callers may
// come, and stops as planned. What the platform says and how it is asked comes
// from an Adapter.
package sidecar
