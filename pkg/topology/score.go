package topology

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// Odd multipliers that give different fields different hashes, even when their
// texts are equal.
const (
	regionMultiplier = 0x9e3779b97f4a7c15
	zoneMultiplier   = 0xc2b2ae3d27d4eb4f
)

// mix spreads the bits of a combined hash (the finalizer of MurmurHash3).
func mix(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	return value ^ value>>33
}

func regionScore(region string) uint64 { return mix(xxhash.Sum64String(region)) }

func zoneScore(region, zone string) uint64 {
	return mix(xxhash.Sum64String(region)*regionMultiplier + xxhash.Sum64String(zone))
}

// memberScore is the rendezvous score of a node in its zone. The lowest score
// has rank 0.
func memberScore(zone uint64, id string) uint64 {
	return mix(zone*zoneMultiplier + xxhash.Sum64String(id))
}

// pairScore orders the fallback parents of a child, in a different order for each
// child.
func pairScore(child, parent uint64) uint64 {
	return mix(child*regionMultiplier + parent)
}

// Key is a node's fixed position in the order of all nodes: by region, then by
// zone, then by its rendezvous score within the zone.
type Key struct {
	region, zone, member uint64
	id                   string
}

// KeyOf returns the key of a node.
func KeyOf(peer Peer) Key {
	zone := zoneScore(peer.Region, peer.Zone)
	return Key{
		region: regionScore(peer.Region),
		zone:   zone,
		member: memberScore(zone, peer.ID),
		id:     peer.ID,
	}
}

// Compare returns -1, 0 or 1, as k precedes, equals or follows other.
func (k Key) Compare(other Key) int {
	return cmp.Or(
		cmp.Compare(k.region, other.region),
		cmp.Compare(k.zone, other.zone),
		cmp.Compare(k.member, other.member),
		cmp.Compare(k.id, other.id),
	)
}
