// Package daemon assembles levertided in standalone mode: it runs the control
// engine, the data plane and four listeners under one supervisor, and shuts them
// down gracefully.
package daemon
