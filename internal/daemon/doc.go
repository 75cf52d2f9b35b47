// Package daemon puts the parts of levertided together: the control engine, the
// data plane and four listeners under one supervisor, and the planned stop.
package daemon
