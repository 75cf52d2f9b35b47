// Package consul is a store.Store and a store.MachineList over the published
// HTTP API of Consul, spoken with net/http.
//
// A write whose connection was made but whose answer did not arrive is
// reported as store.ErrUnknownOutcome; one that found no connection as
// store.ErrUnreachable. Reads have no effect, so that they are never unknown.
package consul
