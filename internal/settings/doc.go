// Package settings reads the settings of levertided from command-line flags,
// LEVERTIDE_ environment variables and a YAML settings file, in that order of
// precedence and under the same names, and validates them at start.
//
// Every fault is reported as a Problem, which names the key, the value, where
// the value came from and what is allowed. All problems are reported at once.
package settings
