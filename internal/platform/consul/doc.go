// Package consul implements store.Store and store.MachineList with the published
// HTTP API of Consul, using net/http.
//
// A write that had a connection but whose response did not arrive is reported as
// store.ErrUnknownOutcome; one for which no connection could be opened as
// store.ErrUnreachable. Reads have no effect, so that their outcome is never unknown.
package consul
