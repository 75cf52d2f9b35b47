package hosted

import (
	"time"

	"github.com/levertide/levertide/pkg/fleet"
	"github.com/levertide/levertide/pkg/quota"
)

// owners counts how many nodes own a share of the limits. Nodes that are lost count, also those
// that refuse connections: they may be cut off and spend their share. Nodes that have left as
// planned do not, once the lease of their share has ended.
type owners struct {
	// left are the nodes that have left, with when this node learned of it.
	left map[string]time.Time
}

// count returns how many of the nodes own a share.
func (o *owners) count(nodes []*fleet.Node, now time.Time) int {
	left := make(map[string]time.Time)
	owning := 0
	for _, n := range nodes {
		if n.State != fleet.StateLeft {
			owning++
			continue
		}
		since, known := o.left[n.ID]
		if !known {
			since = now
		}
		left[n.ID] = since
		if now.Sub(since) <= quota.LeaseTerm {
			owning++
		}
	}
	o.left = left
	return owning
}
