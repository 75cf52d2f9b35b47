// Package memory implements store.Store in memory, for embedders, tests and
// fuzzing. It has no clock and no randomness of its own: sessions lapse only
// when Advance is called, and session identifiers count up, so that a run with
// the same calls gives the same answers.
//
// Faults are injected through Options.Intercept. State and Restore export and
// replace the complete content, like a backup of the platform's store.
package memory
