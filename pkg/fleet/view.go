package fleet

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of parts into which the records are divided, by their
// identifiers, for an anti-entropy exchange between two nodes.
const Buckets = 64

// View is an immutable set of records, ordered by identifier.
type View struct {
	self    string
	nodes   []*Node
	digests [Buckets]uint64
}

// Nodes returns all records, the own one among them. The caller must not change them.
func (v *View) Nodes() []*Node { return v.nodes }

// Count returns the number of nodes, without those that others have replaced.
func (v *View) Count() int {
	count := 0
	for _, n := range v.nodes {
		if !n.Replaced() {
			count++
		}
	}
	return count
}

// Digest is equal for equal sets of records.
func (v *View) Digest() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, digest := range v.digests {
		var b [8]byte
		binary.LittleEndian.PutUint64(b[:], digest)
		_, _ = d.Write(b[:])
	}
	return d.Sum64()
}

// Digests returns the digest of each bucket, equal for equal sets of records.
func (v *View) Digests() [Buckets]uint64 { return v.digests }

// Differing returns the buckets whose digests differ from the given ones; all
// buckets when the number of digests is not Buckets.
func (v *View) Differing(digests []uint64) []uint32 {
	var differing []uint32
	for i, digest := range v.digests {
		if len(digests) != Buckets || digests[i] != digest {
			differing = append(differing, uint32(i))
		}
	}
	return differing
}

// InBuckets returns the records of the given buckets.
func (v *View) InBuckets(buckets []uint32) []*Node {
	var nodes []*Node
	for _, n := range v.nodes {
		if slices.Contains(buckets, bucketOf(n.ID)) {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// Self returns the own record.
func (v *View) Self() Node {
	own, _ := v.Node(v.self)
	return own
}

// Node returns the record of a node.
func (v *View) Node(id string) (Node, bool) {
	i, found := findNode(v.nodes, id)
	if !found {
		return Node{}, false
	}
	return *v.nodes[i], true
}

// Peers returns the records of the other nodes that have not left.
func (v *View) Peers() []*Node {
	peers := make([]*Node, 0, len(v.nodes))
	for _, n := range v.nodes {
		if n.ID != v.self && n.State != StateLeft {
			peers = append(peers, n)
		}
	}
	return peers
}

// findNode returns the index of a node's record among those ordered by identifier.
func findNode(nodes []*Node, id string) (int, bool) {
	return slices.BinarySearchFunc(nodes, id, func(n *Node, id string) int { return strings.Compare(n.ID, id) })
}

func byID(a, b *Node) int { return strings.Compare(a.ID, b.ID) }

func bucketOf(id string) uint32 { return uint32(xxhash.Sum64String(id) % Buckets) }

// digestOf returns a hash of the node's identifier, incarnation and sequence, which
// together identify a record.
func digestOf(n *Node) uint64 {
	var number [16]byte
	binary.LittleEndian.PutUint64(number[:8], n.Incarnation)
	binary.LittleEndian.PutUint64(number[8:], n.Sequence)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(n.ID)
	_, _ = d.Write(number[:])
	return d.Sum64()
}
