package validation

import "time"

// Limits bounds what a set may declare.
type Limits struct {
	// MaxResources bounds the resources of a set, all kinds together.
	MaxResources int
	// MaxSetBytes bounds the total size of the canonical encodings of a set.
	MaxSetBytes int
	// MaxResourceBytes bounds the size of the canonical encoding of one resource.
	MaxResourceBytes int
	// MaxSecretBytes bounds the size of the value of a secret.
	MaxSecretBytes int
	// MaxCredentialBytes bounds the size of the value of a secret that is sent in a
	// header.
	MaxCredentialBytes int
	// MaxSlots, MaxConnections and MaxQueue bound the fields of a service.
	MaxSlots       int
	MaxConnections int
	MaxQueue       int
	// MaxTimeout bounds the timeouts of services and routes.
	MaxTimeout time.Duration
	// MaxSlowStart bounds the slow start of a service.
	MaxSlowStart time.Duration
	// MaxTenantKeys bounds the number of keys of one tenant, and MaxRank its rank.
	MaxTenantKeys int
	MaxRank       int
	// MaxMethods bounds the number of methods that one route lists.
	MaxMethods int
}

// DefaultLimits returns the limits that every program uses unless it is configured
// otherwise. They allow several times the largest known mesh, within what one record
// of the platform's store and the memory of one node can hold.
func DefaultLimits() Limits {
	return Limits{
		MaxResources:       2000,
		MaxSetBytes:        8 << 20,
		MaxResourceBytes:   64 << 10,
		MaxSecretBytes:     32 << 10,
		MaxCredentialBytes: 4 << 10,
		MaxSlots:           10_000,
		MaxConnections:     100_000,
		MaxQueue:           100_000,
		MaxTimeout:         time.Hour,
		MaxSlowStart:       10 * time.Minute,
		MaxMethods:         16,
		MaxTenantKeys:      100,
		MaxRank:            100,
	}
}
