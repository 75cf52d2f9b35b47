package fleet

import "slices"

// Part is a range of nodes in a broadcast. The first of Candidates that takes
// the news hands it on to the others of the range.
type Part struct {
	// Candidates are the nodes of the range, in an order of the sender's own, so
	// that not the same few nodes hand on what all others send.
	Candidates []*Node
	// After and Until bound the range: identifiers that sort after the one and
	// not after the other.
	After, Until string
}

// Spread divides the peers whose identifiers lie in the range from after
// (exclusive) to until (inclusive) into at most fanOut parts of about the same
// size, for a sender that is none of them. An empty until has no end.
func Spread(peers []*Node, sender, after, until string, fanOut int) []Part {
	inside := make([]*Node, 0, len(peers))
	for _, peer := range peers {
		if peer.ID > after && (until == "" || peer.ID <= until) {
			inside = append(inside, peer)
		}
	}
	slices.SortFunc(inside, byID)
	count := min(fanOut, len(inside))
	parts := make([]Part, 0, count)
	lower := after
	for index := range count {
		members := inside[index*len(inside)/count : (index+1)*len(inside)/count]
		upper := members[len(members)-1].ID
		parts = append(parts, Part{Candidates: rank(members, sender), After: lower, Until: upper})
		lower = upper
	}
	return parts
}

// SinglePart returns one part of all the nodes given, which must be one at least.
func SinglePart(nodes []*Node, sender string) Part { return Spread(nodes, sender, "", "", 1)[0] }
