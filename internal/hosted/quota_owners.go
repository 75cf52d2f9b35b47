package hosted

import (
	"slices"
	"time"

	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/quota"
)

// owners counts how many nodes own a share of the limits. Nodes that are lost count, also those
// that refuse connections: they may be cut off and spend their share. Nodes that have left as
// planned, or whose addresses others have, do not, once the lease of their share has ended.
type owners struct {
	// gone are the nodes that have left or were replaced, with when this node learned of it.
	gone map[string]time.Time
}

// count returns how many of the nodes, and of those that were replaced, own a share.
func (o *owners) count(nodes []*fleet.Node, replaced []string, now time.Time) int {
	ids := slices.Clone(replaced)
	owning := 0
	for _, n := range nodes {
		if n.State == fleet.StateLeft {
			ids = append(ids, n.ID)
		} else {
			owning++
		}
	}
	gone := make(map[string]time.Time, len(ids))
	for _, id := range ids {
		since, known := o.gone[id]
		if !known {
			since = now
		}
		gone[id] = since
		if now.Sub(since) <= quota.LeaseTerm {
			owning++
		}
	}
	o.gone = gone
	return owning
}
