package fleet

import (
	"slices"
	"strings"
)

// Part is a range of nodes in a broadcast. The first of Candidates that takes
// the news hands it on to the others of the range.
type Part struct {
	// Candidates are the nodes of the range, in order of identifiers.
	Candidates []Node
	// After and Until bound the range: identifiers that sort after the one and
	// not after the other.
	After, Until string
}

// Spread divides the peers whose identifiers lie in the range from after
// (exclusive) to until (inclusive) into at most fanOut parts of about the same
// size. An empty until has no end.
func Spread(peers []Node, after, until string, fanOut int) []Part {
	inside := make([]Node, 0, len(peers))
	for _, peer := range peers {
		if peer.ID > after && (until == "" || peer.ID <= until) {
			inside = append(inside, peer)
		}
	}
	slices.SortFunc(inside, func(a, b Node) int { return strings.Compare(a.ID, b.ID) })
	count := min(fanOut, len(inside))
	parts := make([]Part, 0, count)
	lower := after
	for index := range count {
		members := inside[index*len(inside)/count : (index+1)*len(inside)/count]
		upper := members[len(members)-1].ID
		parts = append(parts, Part{Candidates: members, After: lower, Until: upper})
		lower = upper
	}
	return parts
}
