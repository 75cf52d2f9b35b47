// Package harness runs meshes of real levertided processes for the integration
// tests. The store stand-in and the workers run in the test's process; each node
// is reached through a fault-injecting proxy and a relay that knows the zones.
//
// What nodes did is read from the event lines that they write to standard
// error, and what callers got from their answers.
package harness
