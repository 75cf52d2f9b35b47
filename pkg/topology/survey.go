package topology

import (
	"iter"
	"slices"
)

// zoneSurvey is what one pass over the members collects about a zone.
type zoneSurvey struct {
	region, name string
	// key is the key of the zone's relay.
	key   Key
	relay Peer
	// indexInRegion is the zone's position among the zones of its region.
	indexInRegion int
}

// member is one node of the planning node's own zone.
type member struct {
	key  Key
	peer Peer
}

// survey is what one pass over the members collects.
type survey struct {
	self    Peer
	selfKey Key
	// zones is sorted by key once complete.
	zones []zoneSurvey
	// members holds the node's own zone, sorted by key once complete.
	members []member
	readers []member
}

// expectedZoneSize is the initial capacity for the members of the node's own zone.
const expectedZoneSize = 96

// expectedZones is the initial capacity for zones.
const expectedZones = 24

func findSelf(self string, live iter.Seq[Peer]) (Peer, bool) {
	for peer := range live {
		if peer.ID == self {
			return peer, true
		}
	}
	return Peer{}, false
}

func surveyMembers(self Peer, live iter.Seq[Peer]) *survey {
	found := &survey{
		self:    self,
		selfKey: KeyOf(self),
		zones:   make([]zoneSurvey, 0, expectedZones),
		members: make([]member, 0, expectedZoneSize),
	}
	previousZone := 0
	for peer := range live {
		previousZone = found.add(peer, previousZone)
	}
	found.sortAndIndexZones()
	return found
}

// add records one member and returns the index of its zone. previousZone is the
// index of the zone of the member added before, often the same zone.
func (s *survey) add(peer Peer, previousZone int) int {
	index := s.zoneIndex(&peer, previousZone)
	zone := &s.zones[index]
	score := memberScore(zone.key.zone, peer.ID)
	key := Key{region: zone.key.region, zone: zone.key.zone, member: score, id: peer.ID}
	if zone.relay.ID == "" || key.Compare(zone.key) < 0 {
		zone.key, zone.relay = key, peer
	}
	if peer.Zone == s.self.Zone && peer.Region == s.self.Region {
		s.members = append(s.members, member{key: key, peer: peer})
	}
	if peer.Reader {
		s.readers = append(s.readers, member{key: key, peer: peer})
	}
	return index
}

// zoneIndex returns the index of the peer's zone in zones, and adds the zone if it
// is new. It tries previousZone first.
func (s *survey) zoneIndex(peer *Peer, previousZone int) int {
	if previousZone < len(s.zones) && s.zones[previousZone].contains(peer) {
		return previousZone
	}
	for index := range s.zones {
		if s.zones[index].contains(peer) {
			return index
		}
	}
	s.zones = append(s.zones, zoneSurvey{
		region: peer.Region,
		name:   peer.Zone,
		key:    Key{region: regionScore(peer.Region), zone: zoneScore(peer.Region, peer.Zone)},
	})
	return len(s.zones) - 1
}

func (z *zoneSurvey) contains(peer *Peer) bool {
	return z.name == peer.Zone && z.region == peer.Region
}

func compareMembers(a, b member) int { return a.key.Compare(b.key) }

func (s *survey) sortAndIndexZones() {
	slices.SortFunc(s.zones, func(a, b zoneSurvey) int { return a.key.Compare(b.key) })
	slices.SortFunc(s.members, compareMembers)
	slices.SortFunc(s.readers, compareMembers)
	for index := 1; index < len(s.zones); index++ {
		if s.zones[index].region == s.zones[index-1].region {
			s.zones[index].indexInRegion = s.zones[index-1].indexInRegion + 1
		}
	}
}

// rank returns the node's position among the members of its zone.
func (s *survey) rank() int {
	index, _ := slices.BinarySearchFunc(s.members, s.selfKey, func(m member, key Key) int {
		return m.key.Compare(key)
	})
	return index
}

// ownZone returns the index of the node's own zone in zones.
func (s *survey) ownZone() int {
	return slices.IndexFunc(s.zones, func(zone zoneSurvey) bool { return zone.contains(&s.self) })
}

// regionZones returns the zones of the node's own region.
func (s *survey) regionZones() []zoneSurvey {
	own := s.ownZone()
	start := own - s.zones[own].indexInRegion
	end := own + 1
	for end < len(s.zones) && s.zones[end].indexInRegion > 0 {
		end++
	}
	return s.zones[start:end]
}

// apexIndex returns the position of a zone's relay among all zone relays: the
// first zones of all regions come first, then the second zones, and so on.
func (s *survey) apexIndex(zone int) int {
	depth := s.zones[zone].indexInRegion
	before := 0
	for index := range s.zones {
		otherDepth := s.zones[index].indexInRegion
		if otherDepth < depth || (otherDepth == depth && index < zone) {
			before++
		}
	}
	return before
}
