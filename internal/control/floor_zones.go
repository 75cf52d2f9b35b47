package control

import (
	"slices"

	"github.com/levertide/levertide/pkg/membership"
	"github.com/levertide/levertide/pkg/rollout"
	"github.com/levertide/levertide/pkg/topology"
)

// zoneKey names a zone.
type zoneKey struct {
	region string
	zone   string
}

// String names the zone together with its region.
func (z zoneKey) String() string { return z.region + "/" + z.zone }

func zoneOfRecord(record *membership.Record) zoneKey {
	return zoneKey{region: record.Region, zone: record.Zone}
}

func zoneOfPeer(peer topology.Peer) zoneKey {
	return zoneKey{region: peer.Region, zone: peer.Zone}
}

// rememberZones records the zones of all records before some are dropped: a zone
// without known members still counts among those that must answer.
func (t *tableState) rememberZones() {
	for record := range t.View().All() {
		t.pastZones[zoneOfRecord(record)] = struct{}{}
	}
}

// reportedVersions are the highest versions that any child has ever reported.
type reportedVersions struct {
	committed rollout.Version
	proposed  rollout.Version
}

func (r *reportedVersions) raise(readiness rollout.Readiness) {
	r.committed = max(r.committed, readiness.Committed)
	r.proposed = max(r.proposed, readiness.Proposed)
}

// floorPeers are the nodes that a restarted node queries for the floor.
type floorPeers struct {
	// own are the other nodes of the zone, those believed live first.
	own []topology.Peer
	// relays is one node of each other zone.
	relays []topology.Peer
	quorum rollout.FloorQuorum
}

// split returns the nodes to query first, and the nodes to query after them. In
// a small zone all are queried at once.
func (p floorPeers) split() (sample, others []topology.Peer) {
	if len(p.own) <= floorCompleteZone {
		return append(slices.Clone(p.relays), p.own...), nil
	}
	return p.own[:floorSample], append(slices.Clone(p.relays), p.own[floorSample:]...)
}

// limited lists the relays and a bounded number of nodes of the zone.
func (p floorPeers) limited() []topology.Peer {
	return append(slices.Clone(p.relays), p.own[:min(len(p.own), floorPeersOfReader)]...)
}

// floorPeers lists the nodes to query for the floor, including lost nodes, which
// may be unreachable from other nodes only.
func (n *Node) floorPeers() floorPeers {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	home := zoneOfRecord(&n.self)
	var found floorPeers
	var lost []topology.Peer
	relays := make(map[zoneKey]relayChoice)
	for record := range n.table.View().All() {
		peer, live := peerOf(record), record.State != membership.StateLost
		switch {
		case record.ID == n.self.ID:
		case zoneOfRecord(record) != home:
			relays[zoneOfRecord(record)] = relays[zoneOfRecord(record)].orBetter(peer, live)
		case live:
			found.own = append(found.own, peer)
		default:
			lost = append(lost, peer)
		}
	}
	found.own = append(found.own, n.hintsInZone(home)...)
	shuffle(found.own)
	found.own = append(found.own, lost...)
	for _, choice := range relays {
		found.relays = append(found.relays, choice.peer)
	}
	found.quorum = rollout.FloorQuorum{ZoneMembers: len(found.own), Zones: n.countOtherZones(home)}
	return found
}

// hintsInZone lists the nodes of a zone that are known only from the platform's
// machine list.
func (n *Node) hintsInZone(zone zoneKey) []topology.Peer {
	var peers []topology.Peer
	for id, hint := range n.plan.hints {
		if _, known := n.table.Get(id); !known && zoneOfPeer(hint) == zone {
			peers = append(peers, hint)
		}
	}
	return peers
}

// countOtherZones counts the zones other than home that have or had members.
func (n *Node) countOtherZones(home zoneKey) int {
	zones := make(map[zoneKey]struct{}, len(n.table.pastZones)+1)
	for zone := range n.table.pastZones {
		zones[zone] = struct{}{}
	}
	for record := range n.table.View().All() {
		zones[zoneOfRecord(record)] = struct{}{}
	}
	delete(zones, home)
	return len(zones)
}

// countOtherMembers counts the members of a zone other than node, including
// lost ones.
func (n *Node) countOtherMembers(zone zoneKey, node string) int {
	count := 0
	for record := range n.table.View().All() {
		if zoneOfRecord(record) == zone && record.ID != node {
			count++
		}
	}
	return count
}

// relayChoice is the node that answers for a zone: its relay, which is the first
// of its live members, or the first of all members if none is live.
type relayChoice struct {
	peer topology.Peer
	live bool
}

func (c relayChoice) orBetter(peer topology.Peer, live bool) relayChoice {
	better := c.peer.ID == "" || live && !c.live ||
		live == c.live && topology.KeyOf(peer).Compare(topology.KeyOf(c.peer)) < 0
	if better {
		return relayChoice{peer: peer, live: live}
	}
	return c
}
