package fleet

import "slices"

// Part is a range of nodes in a broadcast. The first of Candidates that accepts
// the update forwards it to the others of the range.
type Part struct {
	// Candidates are the nodes of the range, in an order that differs by sender, so
	// that the forwarding does not fall to the same few nodes.
	Candidates []*Node
	// After and Until bound the range: the identifiers that sort after After and
	// not after Until.
	After, Until string
}

// Spread divides the peers whose identifiers lie in the range from after
// (exclusive) to until (inclusive) into at most fanOut parts of about the same
// size, for a sender that is none of them. An empty until means no upper bound.
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

// SinglePart returns one part with all the given nodes. There must be at least one.
func SinglePart(nodes []*Node, sender string) Part { return Spread(nodes, sender, "", "", 1)[0] }
