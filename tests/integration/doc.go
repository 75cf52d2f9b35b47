// Package integration holds tests that run real levertided processes against
// the store stand-in and workers, with faults injected between them.
package integration
