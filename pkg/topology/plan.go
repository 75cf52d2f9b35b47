package topology

import (
	"cmp"
	"iter"
	"slices"
)

// Plan returns the position in the tree of the node with the identifier self, which
// is normally one of the live members. If live does not contain it, the assignment
// is that of a leaf without parents.
func Plan(self string, live []Peer, options Options) Assignment {
	return PlanSeq(self, slices.Values(live), options)
}

// PlanSeq is like Plan but takes a sequence, which it iterates over twice. The
// caller need not copy the members into a slice.
func PlanSeq(self string, live iter.Seq[Peer], options Options) Assignment {
	options = options.withDefaults()
	own, found := findSelf(self, live)
	if !found {
		return Assignment{Role: RoleLeaf, ApexIndex: NotInApex}
	}
	members := surveyMembers(own, live)
	assignment := Assignment{Rank: members.rank(), ApexIndex: NotInApex}
	assignment.FullScope = assignment.Rank < relayCount(len(members.members), options.FanOut)
	assignment.Role = members.role(assignment)
	if assignment.Rank == 0 {
		assignment.ApexIndex = members.apexIndex(members.ownZone())
		assignment.ReaderCandidate = assignment.ApexIndex < options.Readers
	}
	members.chooseParents(&assignment, options)
	return assignment
}

func (s *survey) role(assignment Assignment) Role {
	switch {
	case assignment.Rank == 0 && s.zones[s.ownZone()].indexInRegion == 0:
		return RoleRegionRelay
	case assignment.Rank == 0:
		return RoleZoneRelay
	case assignment.FullScope:
		return RoleRelay
	default:
		return RoleLeaf
	}
}

// relayCount returns how many of a zone's members hold the complete
// configuration: those that have children, and at least the zone relay and its own
// children, one of which replaces it when it fails.
func relayCount(zoneSize, fanOut int) int {
	withChildren := 0
	if zoneSize > 1 {
		withChildren = (zoneSize-2)/fanOut + 1
	}
	return min(zoneSize, max(withChildren, fanOut+1))
}

func (s *survey) chooseParents(assignment *Assignment, options Options) {
	switch {
	case s.self.Reader:
		s.chooseEarlierReaders(assignment)
	case assignment.Rank > 0:
		assignment.Parents = s.zoneParents(assignment.Rank, options.FanOut)
	case assignment.Role == RoleZoneRelay:
		assignment.Parents = s.regionParents(options.FanOut)
	default:
		s.chooseApexParents(assignment)
	}
}

// chooseEarlierReaders lists the readers that precede this one. They may serve it
// only while they read the store. The reader that reaches none of them is the
// coordinator.
func (s *survey) chooseEarlierReaders(assignment *Assignment) {
	for _, reader := range s.readers {
		if reader.key.Compare(s.selfKey) < 0 && len(assignment.Parents) < MaxParents {
			assignment.Parents = append(assignment.Parents, reader.peer)
			assignment.mustRead = append(assignment.mustRead, reader.peer.ID)
		}
	}
}

// zoneParents lists the parents of a node inside its zone.
func (s *survey) zoneParents(rank, fanOut int) []Peer {
	earlier := s.members[:min(rank, relayCount(len(s.members), fanOut))]
	return s.heapParents(len(earlier), (rank-1)/fanOut, func(index int) (Peer, Key) {
		return earlier[index].peer, earlier[index].key
	})
}

// regionParents lists the parents of a zone relay inside its region.
func (s *survey) regionParents(fanOut int) []Peer {
	index := s.zones[s.ownZone()].indexInRegion
	zones := s.regionZones()
	return s.heapParents(index, (index-1)/fanOut, func(index int) (Peer, Key) {
		return zones[index].relay, zones[index].key
	})
}

// heapParents lists the preferred one of count candidates first, candidate 0 last,
// and between them other candidates in an order that differs for each child, so
// that the children of a failed parent spread over the others.
func (s *survey) heapParents(count, preferred int, candidate func(int) (Peer, Key)) []Peer {
	type ranked struct {
		index int
		score uint64
	}
	fallbacks := make([]ranked, 0, count)
	for index := 1; index < count; index++ {
		if index == preferred {
			continue
		}
		_, key := candidate(index)
		fallbacks = append(fallbacks, ranked{index, pairScore(s.selfKey.member, key.member)})
	}
	slices.SortFunc(fallbacks, func(a, b ranked) int { return cmp.Compare(a.score, b.score) })
	parents := make([]Peer, 0, min(count, MaxParents))
	first, _ := candidate(preferred)
	parents = append(parents, first)
	for _, fallback := range fallbacks[:min(len(fallbacks), MaxParents-2)] {
		peer, _ := candidate(fallback.index)
		parents = append(parents, peer)
	}
	if preferred != 0 {
		root, _ := candidate(0)
		parents = append(parents, root)
	}
	return parents
}

// chooseApexParents lists the parents of a region relay that does not read the
// store: the readers, spread over the regions, and then the relays of preceding
// regions. Readers that follow the node in the order of keys may serve it only
// while they read the store.
func (s *survey) chooseApexParents(assignment *Assignment) {
	region := s.regionIndex()
	for offset := range min(len(s.readers), MaxParents/2) {
		reader := s.readers[(region+offset)%len(s.readers)]
		assignment.Parents = append(assignment.Parents, reader.peer)
		if reader.key.Compare(s.selfKey) > 0 {
			assignment.mustRead = append(assignment.mustRead, reader.peer.ID)
		}
	}
	for index := range s.zones {
		zone := &s.zones[index]
		earlier := zone.indexInRegion == 0 && zone.key.Compare(s.selfKey) < 0
		if earlier && !zone.relay.Reader && len(assignment.Parents) < MaxParents {
			assignment.Parents = append(assignment.Parents, zone.relay)
		}
	}
}

// regionIndex returns how many regions precede the node's own.
func (s *survey) regionIndex() int {
	regions := 0
	for index := range s.ownZone() {
		if s.zones[index].indexInRegion == 0 && s.zones[index].region != s.self.Region {
			regions++
		}
	}
	return regions
}
