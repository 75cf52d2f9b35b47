// Package harness runs meshes of real levertided processes for the integration
// tests. The store stand-in and the workers run in the test's process. Each node
// is reached through a relay that applies the faults between zones and a
// fault-injecting proxy.
//
// Tests observe the nodes through the event lines that these write to standard
// error, and the callers through the answers that they receive.
package harness
